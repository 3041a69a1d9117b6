import { createServer } from "node:http";

/** Most rows in one page of a read. */
const MAX_PAGE_ROWS = 500;
/** Most entries in one transaction. */
const MAX_ENTRIES = 100;
/** Tables that the system may not write to. */
const READ_ONLY_TABLES = ["op", "servers"];

/** Waits for a number of ms. */
export function wait(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Reads the body of a request or a reply as text. */
export async function readText(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString("utf8");
}

/** Starts a server on a free loopback port whose requests and replies have JSON bodies. The handler returns a reply, "silent" or "reset". */
export function startJsonServer(handle, port = 0) {
  const sockets = new Set();
  const server = createServer(async (request, response) => {
    let reply;
    try {
      const text = await readText(request);
      reply = await handle({
        method: request.method,
        url: new URL(request.url, "http://stand-in"),
        body: text === "" ? undefined : JSON.parse(text),
        headers: request.headers,
      });
    } catch {
      reply = { status: 400, body: {} };
    }
    if (reply === "silent") return;
    if (reply === "reset") return request.socket.resetAndDestroy();
    if (response.destroyed) return;
    response.writeHead(reply.status, { "content-type": "application/json" });
    response.end(reply.body === undefined ? "" : JSON.stringify(reply.body));
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => sockets.delete(socket));
  });
  return new Promise((resolve, reject) => {
    server.on("error", reject);
    server.listen(port, "127.0.0.1", () => {
      const address = `127.0.0.1:${server.address().port}`;
      resolve({
        address,
        /** Resets all open connections. */
        resetAll: () => {
          for (const socket of sockets) socket.resetAndDestroy();
        },
        stop: () => {
          server.close();
          for (const socket of sockets) socket.destroy();
        },
      });
    });
  });
}

/** Starts a stand-in of the platform's store with one address a daemon. */
export function startStore({ txnMs = 3 } = {}) {
  const tables = new Map();
  const feeds = new Set();
  let version = 0;
  const describe = () => ({ ver: version, nowMs: performance.now() });

  function findTable(name) {
    if (!tables.has(name)) tables.set(name, new Map());
    return tables.get(name);
  }

  function findRow({ table, part = "", key }) {
    return findTable(table).get(`${part}|${key}`);
  }

  function setRow(row) {
    findTable(row.table).set(`${row.part}|${row.key}`, row);
  }

  function notify() {
    for (const check of [...feeds]) check();
  }

  function transact({ expectedRev = [], setKeys = [], remove = [] }) {
    if (expectedRev.length + setKeys.length + remove.length > MAX_ENTRIES) {
      return { status: 400 };
    }
    const changes = [...setKeys, ...remove];
    if (changes.some(({ table }) => READ_ONLY_TABLES.includes(table))) {
      return { status: 403 };
    }
    const isMet = ({ ver, ...key }) => {
      const row = findRow(key);
      return (row && !row.deleted ? row.ver : 0) === ver;
    };
    if (!expectedRev.every(isMet)) {
      const rows = expectedRev.map(findRow)
        .filter((row) => row && !row.deleted);
      return { status: 412, body: { rows, ...describe() } };
    }
    version += 1;
    for (const { table, part = "", key, value } of setKeys) {
      setRow({ table, part, key, value, ver: version });
    }
    for (const { table, part = "", key } of remove) {
      const row = findRow({ table, part, key });
      if (!row || row.deleted) continue;
      setRow({ table, part, key, ver: version, deleted: true });
    }
    notify();
    return { status: 200, body: describe() };
  }

  function readRows(query) {
    const [from, to] = [query.get("from") ?? "", query.get("to")];
    const found = [...findTable(query.get("table")).values()]
      .filter((row) => !row.deleted && row.part === (query.get("part") ?? ""))
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const limit = Math.min(MAX_PAGE_ROWS, Number(query.get("limit") ?? 500));
    const rows = found.slice(0, limit);
    const hasMore = rows.length < found.length;
    return { status: 200, body: { rows, hasMore, ...describe() } };
  }

  function readFeed(query) {
    const after = Number(query.get("after"));
    const list = () =>
      [...findTable(query.get("table")).values()]
        .filter(({ ver }) => ver > after)
        .sort((one, other) => one.ver - other.ver);
    return new Promise((resolve) => {
      const finish = (rows) => {
        clearTimeout(timer);
        feeds.delete(check);
        resolve({ status: 200, body: { rows, ...describe() } });
      };
      const check = () => {
        const rows = list();
        if (rows.length > 0) finish(rows);
      };
      const timer = setTimeout(
        () => finish(list()),
        Number(query.get("waitMs") ?? 0),
      );
      feeds.add(check);
      check();
    });
  }

  async function perform({ url, body }) {
    if (url.pathname === "/rows-get") {
      await wait(1);
      return readRows(url.searchParams);
    }
    if (url.pathname === "/rows-feed") return readFeed(url.searchParams);
    if (url.pathname === "/rows-tx") {
      await wait(txnMs);
      return transact(body);
    }
    return { status: 404 };
  }

  const doors = [];
  return {
    /** Opens an address for one daemon; `door.intercept(request, perform)` may replace the answer. */
    openDoor: async () => {
      const door = { intercept: undefined };
      const server = await startJsonServer((request) =>
        door.intercept
          ? door.intercept(request, () => perform(request))
          : perform(request)
      );
      Object.assign(door, server);
      doors.push(server);
      return door;
    },
    /** Writes a row as the platform, an operator or a minion does. */
    put: (table, key, value) => {
      version += 1;
      const text = Buffer.from(JSON.stringify(value)).toString("base64");
      setRow({ table, part: "", key, value: text, ver: version });
      notify();
    },
    remove: (table, key) => {
      version += 1;
      setRow({ table, part: "", key, ver: version, deleted: true });
      notify();
    },
    read: (table, key) => {
      const row = findRow({ table, key });
      if (!row || row.deleted) return undefined;
      return JSON.parse(Buffer.from(row.value, "base64").toString("utf8"));
    },
    stop: () => doors.forEach((door) => door.stop()),
  };
}
