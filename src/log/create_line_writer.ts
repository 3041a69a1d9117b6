import { write } from "node:fs";

/** Most bytes that wait for a slow reader; more lines are dropped and counted. */
const MOST_WAITING_BYTES = 1024 * 1024;
/** Lines are gathered this long before they are written, in ms. */
const GATHER_MS = 100;

/**
 * Creates a writer of lines that never blocks the caller: one write is on its
 * way at a time, and what does not fit the buffer is dropped and counted.
 */
export function createLineWriter(
  fd: number,
): { write(line: string): void; dropped(): number; flush(): Promise<void> } {
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let isWriting = false;
  let timer: ReturnType<typeof setTimeout> | undefined;

  function start(): void {
    timer = undefined;
    if (isWriting || waiting.length === 0) return;
    isWriting = true;
    const data = Buffer.from(waiting.join(""));
    waiting = [];
    waitingBytes = 0;
    writeAll(data, 0);
  }

  function writeAll(data: Buffer, offset: number): void {
    write(fd, data, offset, (error, written) => {
      if (error?.code === "EAGAIN") {
        setTimeout(() => writeAll(data, offset), GATHER_MS);
        return;
      }
      if (error) dropped += 1;
      if (!error && offset + written < data.length) {
        writeAll(data, offset + written);
        return;
      }
      isWriting = false;
      if (waiting.length > 0) start();
    });
  }

  return {
    write: (line) => {
      if (waitingBytes + line.length > MOST_WAITING_BYTES) {
        dropped += 1;
        return;
      }
      waiting.push(line + "\n");
      waitingBytes += line.length + 1;
      timer ??= setTimeout(start, GATHER_MS);
    },
    dropped: () => dropped,
    flush: async () => {
      start();
      while (isWriting || waiting.length > 0) {
        await new Promise((resolve) => setTimeout(resolve, 5));
        if (!isWriting) start();
      }
    },
  };
}
