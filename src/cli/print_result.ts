/** Prints a result on standard output: as JSON with `json`, otherwise `text`. */
export function printResult(
  result: unknown,
  options: { json?: boolean; text: string },
): void {
  const text = options.json ? JSON.stringify(result) : options.text;
  process.stdout.write(text + "\n");
}
