import { startJsonServer } from "./start_json_server.ts";

type Row = {
  table: string;
  part: string;
  key: string;
  value?: string;
  ver: number;
  deleted?: boolean;
};
type RowKey = { table: string; part: string; key: string };

/** Faults that a test injects into the store. */
type Faults = {
  /** Every request is refused with this HTTP status. */
  status?: number;
  /** No request is answered, and none is carried out. */
  isSilent: boolean;
  /** Transactions are applied, but their callers get no reply. */
  losesAnswers: boolean;
  /** Oldest version from which a feed may continue; earlier ones are answered 410. */
  keptFrom: number;
  /** Maximum number of rows in one page of a read. */
  pageRows: number;
  /** Called after each page of a read except the last. */
  afterPage?: () => void;
};

type StoreAddress = {
  address: string;
  /** While `isClosed`, every request to this address is answered 503. */
  state: { isClosed: boolean };
};

/** Maximum number of conditions, writes and removals in one transaction, taken together. */
const MAX_TRANSACTION_ENTRIES = 100;
/** Maximum number of rows that the platform's store returns in one page of a read. */
const MAX_PAGE_ROWS = 500;
/** Time between two checks of a long poll of the feed for changes, in ms. */
const FEED_POLL_INTERVAL_MS = 5;

/** Starts a stand-in of the platform's store: tables of rows, conditional transactions and change feeds. */
export async function startStore(): Promise<{
  address: string;
  faults: Faults;
  put(table: string, key: string, value: unknown): void;
  remove(table: string, key: string): void;
  read(table: string, key: string): unknown;
  /** Opens a further address of the store, so that a test can cut off a single caller. */
  openDoor(): Promise<StoreAddress>;
  stop(): Promise<void>;
}> {
  const rows = new Map<string, Row>();
  const faults: Faults = {
    isSilent: false,
    losesAnswers: false,
    keptFrom: 0,
    pageRows: MAX_PAGE_ROWS,
  };
  let version = 0;
  const formatRowKey = ({ table, part, key }: RowKey) =>
    `${table}|${part}|${key}`;
  const describeVersion = () => ({ ver: version, nowMs: performance.now() });

  function transact(body: unknown) {
    const { expectedRev = [], setKeys = [], remove = [] } = body as {
      expectedRev?: (RowKey & { ver: number })[];
      setKeys?: (RowKey & { value: string })[];
      remove?: RowKey[];
    };
    const entries = expectedRev.length + setKeys.length + remove.length;
    if (entries > MAX_TRANSACTION_ENTRIES) return { status: 400 };
    const unmet = expectedRev.filter((rowKey) => {
      const row = rows.get(formatRowKey(rowKey));
      const found = row && !row.deleted ? row.ver : 0;
      return found !== rowKey.ver;
    });
    if (unmet.length > 0) {
      const found = unmet.map((rowKey) => rows.get(formatRowKey(rowKey)))
        .filter((row) => row !== undefined);
      return { status: 412, body: { rows: found, ...describeVersion() } };
    }
    version += 1;
    for (const row of setKeys) {
      rows.set(formatRowKey(row), { ...row, ver: version });
    }
    for (const rowKey of remove) {
      rows.set(formatRowKey(rowKey), {
        ...rowKey,
        ver: version,
        deleted: true,
      });
    }
    return { status: 200, body: describeVersion() };
  }

  function readRows(query: URLSearchParams) {
    const found = [...rows.values()]
      .filter((row) => row.table === query.get("table") && !row.deleted)
      .filter((row) => row.key >= (query.get("from") ?? ""))
      .filter((row) => row.key < (query.get("to") ?? "\uffff"))
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const page = found.slice(0, faults.pageRows);
    const hasMore = page.length < found.length;
    const reply = {
      status: 200,
      body: { rows: page, hasMore, ...describeVersion() },
    };
    if (hasMore) faults.afterPage?.();
    return reply;
  }

  async function readFeed(query: URLSearchParams) {
    const afterVersion = Number(query.get("after"));
    const untilMs = performance.now() + Number(query.get("waitMs"));
    if (afterVersion < faults.keptFrom) return { status: 410, body: {} };
    while (true) {
      const changed = [...rows.values()]
        .filter((row) =>
          row.table === query.get("table") && row.ver > afterVersion
        )
        .sort((one, other) => one.ver - other.ver);
      if (changed.length > 0 || performance.now() > untilMs) {
        return { status: 200, body: { rows: changed, ...describeVersion() } };
      }
      await new Promise((resolve) =>
        setTimeout(resolve, FEED_POLL_INTERVAL_MS)
      );
    }
  }

  const addressServers: { stop(): Promise<void> }[] = [];

  /** Opens a further address of the same store, which can be closed independently of the others. */
  async function openAddress(): Promise<StoreAddress> {
    const state = { isClosed: false };
    const server = await startJsonServer(async (request) => {
      if (state.isClosed) return { status: 503 };
      const reply = await answer(request);
      return state.isClosed ? { status: 503 } : reply;
    });
    addressServers.push(server);
    return { address: server.address, state };
  }

  const answer: Parameters<typeof startJsonServer>[0] = ({ url, body }) => {
    if (faults.isSilent) return "silent";
    if (faults.status) return { status: faults.status };
    if (url.pathname === "/rows-get") return readRows(url.searchParams);
    if (url.pathname === "/rows-feed") return readFeed(url.searchParams);
    const reply = transact(body);
    return faults.losesAnswers ? "silent" : reply;
  };
  const server = await startJsonServer(answer);

  return {
    address: server.address,
    faults,
    put: (table, key, value) => {
      version += 1;
      const text = typeof value === "string" ? value : JSON.stringify(value);
      rows.set(`${table}||${key}`, {
        table,
        part: "",
        key,
        value: Buffer.from(text).toString("base64"),
        ver: version,
      });
    },
    remove: (table, key) => {
      version += 1;
      rows.set(`${table}||${key}`, {
        table,
        part: "",
        key,
        ver: version,
        deleted: true,
      });
    },
    read: (table, key) => {
      const value = rows.get(`${table}||${key}`)?.value;
      return value === undefined
        ? undefined
        : JSON.parse(Buffer.from(value, "base64").toString("utf8"));
    },
    openDoor: openAddress,
    stop: async () => {
      for (const addressServer of addressServers) await addressServer.stop();
      await server.stop();
    },
  };
}
