import { write } from "node:fs";

/** Upper bound of the buffered text, in characters. A line that would exceed it, because the reader is slow, is dropped and counted. */
const MAX_BUFFERED_CHARACTERS = 1024 * 1024;
/** How long lines are buffered before they are written together, and the pause before a write to a full pipe is repeated, in ms. */
const WRITE_INTERVAL_MS = 100;

/**
 * Creates a writer of lines to a file descriptor that never blocks the caller.
 * Lines are buffered, and at most one write is in progress at a time.
 * `dropped` returns how many lines were dropped because the buffer was full,
 * plus the number of failed writes. `flush` resolves once the buffer is written.
 */
export function createLineWriter(
  fd: number,
): { write(line: string): void; dropped(): number; flush(): Promise<void> } {
  let bufferedLines: string[] = [];
  let bufferedCharacters = 0;
  let dropped = 0;
  let isWriting = false;
  let timer: ReturnType<typeof setTimeout> | undefined;

  function startWrite(): void {
    timer = undefined;
    if (isWriting || bufferedLines.length === 0) return;
    isWriting = true;
    const data = Buffer.from(bufferedLines.join(""));
    bufferedLines = [];
    bufferedCharacters = 0;
    writeAll(data, 0);
  }

  function writeAll(data: Buffer, offset: number): void {
    write(fd, data, offset, (error, written) => {
      if (error?.code === "EAGAIN") {
        setTimeout(() => writeAll(data, offset), WRITE_INTERVAL_MS);
        return;
      }
      if (error) dropped += 1;
      if (!error && offset + written < data.length) {
        writeAll(data, offset + written);
        return;
      }
      isWriting = false;
      if (bufferedLines.length > 0) startWrite();
    });
  }

  return {
    write: (line) => {
      if (bufferedCharacters + line.length > MAX_BUFFERED_CHARACTERS) {
        dropped += 1;
        return;
      }
      bufferedLines.push(line + "\n");
      bufferedCharacters += line.length + 1;
      timer ??= setTimeout(startWrite, WRITE_INTERVAL_MS);
    },
    dropped: () => dropped,
    flush: async () => {
      startWrite();
      while (isWriting || bufferedLines.length > 0) {
        await new Promise((resolve) => setTimeout(resolve, 5));
        if (!isWriting) startWrite();
      }
    },
  };
}
