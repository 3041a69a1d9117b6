import type { Socket } from "node:net";
import type { Reader } from "../client_limits/reader.ts";

/** Bytes that are handed to the parser at a time. */
const SLICE_BYTES = 4 * 1_024;

/**
 * Creates the reader of a connection, to be called once the HTTP server has added
 * its listeners. With a listener for `readable`, the server's parser gets bytes
 * only when they are read from the socket; the socket itself stops receiving once
 * its buffer is full.
 */
export function createSocketReader(
  socket: Socket,
  options: {
    /** Whether more bytes may be handled now. */
    canRead: () => boolean;
    /** Called when bytes, or the end of the connection, can be read. */
    onReadable: (reader: Reader) => void;
    refuse: () => void;
  },
): Reader {
  const { canRead, onReadable, refuse } = options;
  const reader: Reader = {
    workMs: 0,
    hasReceivedRequest: false,
    waitingBytes: 0,
    readSlice: () => {
      if (socket.destroyed || !canRead()) return;
      const bytes = Math.min(socket.readableLength, SLICE_BYTES);
      // Without a size, the end of the connection is read.
      socket.read(bytes > 0 ? bytes : undefined);
    },
    countReadableBytes: () =>
      !socket.destroyed && canRead() ? socket.readableLength : 0,
    refuse,
  };
  socket.on("readable", () => onReadable(reader));
  return reader;
}
