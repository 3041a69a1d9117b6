import type { BodyStore } from "./body_store.ts";
import { chooseHolderToRefuse } from "./choose_holder_to_refuse.ts";
import { createBlockPool } from "./create_block_pool.ts";
import type { MemoryHolder } from "./memory_holder.ts";

type Body = MemoryHolder & { blocks: Buffer[]; length: number };

/** Creates a store of unfinished bodies that hold at most `maxBytes` together; a single one may hold more. */
export function createBodyStore(
  maxBytes: number,
  readNowMs: () => number,
): BodyStore {
  const pool = createBlockPool(maxBytes);
  const bodies = new Set<Body>();

  function takeBlock(body: Body): boolean {
    while (pool.isExhausted() && bodies.size > 1) {
      const victim = chooseHolderToRefuse(bodies, readNowMs());
      if (!victim) break;
      dropBody(victim);
      victim.refuse();
      if (victim === body) return false;
    }
    body.blocks.push(pool.take());
    body.bytes += pool.blockBytes;
    return true;
  }

  function dropBody(body: Body): void {
    if (!bodies.delete(body)) return;
    pool.release(body.blocks);
    body.blocks = [];
    body.bytes = 0;
  }

  function addChunk(body: Body, chunk: Buffer): void {
    let offset = 0;
    while (offset < chunk.length && bodies.has(body)) {
      const at = body.length % pool.blockBytes;
      const isFull = at === 0 && body.length === body.bytes;
      if (isFull && !takeBlock(body)) return;
      const copied = chunk.copy(
        body.blocks[body.blocks.length - 1],
        at,
        offset,
      );
      offset += copied;
      body.length += copied;
    }
  }

  return {
    open: (refuse) => {
      const body: Body = {
        bytes: 0,
        sinceMs: readNowMs(),
        blocks: [],
        length: 0,
        refuse,
      };
      bodies.add(body);
      return {
        add: (chunk) => addChunk(body, chunk),
        finish: () => {
          const bytes = Buffer.concat(body.blocks, body.length);
          dropBody(body);
          return bytes;
        },
        drop: () => dropBody(body),
      };
    },
    readBytes: pool.readTakenBytes,
  };
}
