import { connect, createServer } from "node:net";

/**
 * Forwards connections to a loopback port, as a process of its own. While it is
 * stopped by a signal, nothing passes in either direction, as behind a
 * partition. Its queue of new connections is short, so that further ones hang
 * once it is full.
 */
const target = Number(process.argv[2]);

const server = createServer((from) => {
  const to = connect(target, "127.0.0.1");
  from.pipe(to);
  to.pipe(from);
  for (const [one, other] of [[from, to], [to, from]]) {
    one.setNoDelay(true);
    one.on("error", () => other.destroy());
    one.on("close", () => other.destroy());
  }
});
server.listen({ port: 0, host: "127.0.0.1", backlog: 1 }, () => {
  process.stdout.write(`${server.address().port}\n`);
});
// Ends with the process that started it.
process.stdin.on("end", () => process.exit(0));
process.stdin.resume();
