/** Size of a block, in bytes: most bodies fit in one. */
const BLOCK_BYTES = 16 * 1_024;

/** Creates a pool of blocks of memory that are used again, so that what bodies take does not depend on when garbage is collected. */
export function createBlockPool(maxBytes: number) {
  const maxBlocks = Math.floor(maxBytes / BLOCK_BYTES);
  const free: Buffer[] = [];
  let takenCount = 0;
  return {
    blockBytes: BLOCK_BYTES,
    isExhausted: () => takenCount >= maxBlocks,
    take: (): Buffer => {
      takenCount += 1;
      return free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
    },
    release: (blocks: Buffer[]): void => {
      takenCount -= blocks.length;
      for (const block of blocks) {
        if (takenCount + free.length < maxBlocks) free.push(block);
      }
    },
    readTakenBytes: () => takenCount * BLOCK_BYTES,
  };
}
