/** Formats the reply to a patch: its type and version, then one line for each change. */
export function formatChanges(body: Record<string, unknown>): string {
  const changes = (body.changes ?? []) as {
    path: string;
    before: unknown;
    after: unknown;
  }[];
  const lines = changes.map(({ path, before, after }) =>
    `  ${path}: ${JSON.stringify(before) ?? "(none)"} -> ${
      JSON.stringify(after) ?? "(none)"
    }`
  );
  return [`${body.type}: version ${body.version}`, ...lines].join("\n");
}
