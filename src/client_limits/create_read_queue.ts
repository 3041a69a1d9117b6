import { chooseReader } from "./choose_reader.ts";
import { chooseReaderToRefuse } from "./choose_reader_to_refuse.ts";
import type { ReadQueue } from "./read_queue.ts";
import type { Reader } from "./reader.ts";

/** Time that reads may take in one turn of the event loop, in ms. */
const MAX_TURN_MS = 10;
/** Time of reads after which the turn's end is watched for, in ms; below it, turns are not told apart. */
const WATCHED_TURN_MS = 1;

/**
 * Creates a queue of readers. In each turn of the event loop they are read for a
 * bounded time, so that all else that the process does goes on, and those that
 * have taken least time go first, so that costly requests wait for others. The
 * bytes that wait take at most `maxWaitingBytes`; a reader that is alone is never
 * refused.
 */
export function createReadQueue(options: {
  maxWaitingBytes: number;
  readNowMs: () => number;
  /** Calls `run` once, later than all that the event loop does in this turn. */
  runInNextTurn: (run: () => void) => void;
}): ReadQueue {
  const { maxWaitingBytes, readNowMs, runInNextTurn } = options;
  const waiting = new Set<Reader>();
  let waitingBytes = 0;
  let turnMs = 0;
  let isTurnWatched = false;

  function readSlice(reader: Reader): void {
    const beganMs = readNowMs();
    reader.readSlice();
    const tookMs = readNowMs() - beganMs;
    reader.workMs = reader.hasReceivedRequest ? 0 : reader.workMs + tookMs;
    reader.hasReceivedRequest = false;
    turnMs += tookMs;
  }

  function enqueue(reader: Reader): void {
    waiting.add(reader);
    updateBytes(reader, reader.countReadableBytes());
    while (waitingBytes > maxWaitingBytes && waiting.size > 1) {
      const victim = chooseReaderToRefuse(waiting);
      if (!victim) break;
      forget(victim);
      victim.refuse();
    }
  }

  function updateBytes(reader: Reader, bytes: number): void {
    waitingBytes += bytes - reader.waitingBytes;
    reader.waitingBytes = bytes;
  }

  function forget(reader: Reader): void {
    if (waiting.delete(reader)) updateBytes(reader, 0);
  }

  function watchTurn(): void {
    if (isTurnWatched) return;
    isTurnWatched = true;
    runInNextTurn(beginTurn);
  }

  function beginTurn(): void {
    isTurnWatched = false;
    turnMs = 0;
    while (turnMs < MAX_TURN_MS) {
      const reader = chooseReader(waiting);
      if (!reader) break;
      readWaiting(reader);
    }
    if (waiting.size > 0) watchTurn();
  }

  /** Reads a slice of a reader that waits; it waits again, behind others, if there is more. */
  function readWaiting(reader: Reader): void {
    forget(reader);
    readSlice(reader);
    if (reader.countReadableBytes() > 0) enqueue(reader);
  }

  return {
    add: (reader) => {
      if (waiting.has(reader)) return enqueue(reader);
      do {
        if (turnMs >= MAX_TURN_MS) {
          enqueue(reader);
          break;
        }
        readSlice(reader);
      } while (reader.countReadableBytes() > 0);
      if (turnMs >= WATCHED_TURN_MS) watchTurn();
    },
    forget,
    endTurn: () => {
      turnMs = MAX_TURN_MS;
      watchTurn();
    },
    readNewcomers: () => {
      for (const reader of [...waiting]) {
        if (reader.workMs === 0) readWaiting(reader);
      }
    },
    readWaitingBytes: () => waitingBytes,
  };
}
