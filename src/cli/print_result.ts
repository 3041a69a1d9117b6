/** Prints a result on standard output: as JSON for scripts, else as text. */
export function printResult(
  result: unknown,
  options: { json?: boolean; text: string },
): void {
  const text = options.json ? JSON.stringify(result) : options.text;
  process.stdout.write(text + "\n");
}
