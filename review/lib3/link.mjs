import { connect, createServer } from "node:net";

/** Interval at which a link passes bytes on, in ms. */
const TICK_MS = 2;
/** Bytes that a connection may have in flight in a link, as windows are small. */
const WINDOW_BYTES = 65_536;

/**
 * Starts a proxy on a loopback address that passes the answers of `target` on
 * at the bandwidth of a machine's link, which its connections share.
 */
export function startLink(target) {
  const [host, port] = target.split(":");
  const connections = new Set();
  const link = { mbps: Infinity };
  let passedMs = performance.now();

  function pass() {
    const nowMs = performance.now();
    let budget = link.mbps * 125 * (nowMs - passedMs);
    passedMs = nowMs;
    let waiting = [...connections].filter(({ bytes }) => bytes > 0);
    while (waiting.length > 0 && budget >= 1) {
      const share = Math.max(1, Math.floor(budget / waiting.length));
      for (const connection of waiting) {
        const size = Math.min(share, connection.bytes, budget);
        const data = Buffer.concat(connection.chunks);
        connection.socket.write(data.subarray(0, size));
        connection.chunks = [data.subarray(size)];
        connection.bytes -= size;
        budget -= size;
        if (connection.bytes < WINDOW_BYTES) connection.upstream.resume();
        if (connection.bytes === 0 && connection.hasEnded) {
          connection.socket.end();
        }
      }
      waiting = waiting.filter(({ bytes }) => bytes > 0);
    }
  }

  const server = createServer((socket) => {
    const upstream = connect(Number(port), host);
    const connection = { socket, upstream, chunks: [], bytes: 0 };
    connections.add(connection);
    const close = () => {
      connections.delete(connection);
      socket.destroy();
      upstream.destroy();
    };
    socket.on("data", (data) => upstream.write(data));
    upstream.on("data", (data) => {
      if (link.mbps === Infinity) {
        socket.write(data);
        return;
      }
      connection.chunks.push(data);
      connection.bytes += data.length;
      if (connection.bytes >= WINDOW_BYTES) upstream.pause();
    });
    upstream.on("end", () => {
      connection.hasEnded = true;
      if (connection.bytes === 0) socket.end();
    });
    for (const one of [socket, upstream]) one.on("error", close);
    socket.on("close", close);
  });
  const timer = setInterval(pass, TICK_MS);
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve(Object.assign(link, {
        address: `127.0.0.1:${server.address().port}`,
        stop: () => {
          clearInterval(timer);
          server.close();
          for (const { socket } of connections) socket.destroy();
        },
      }));
    });
  });
}
