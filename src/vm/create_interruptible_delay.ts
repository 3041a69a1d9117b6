/** Creates a delay that a call of `wake` can end early. */
export function createInterruptibleDelay(): {
  /** Resolves after `durationMs`, or at the next `wake`. */
  wait(durationMs: number): Promise<void>;
  /** Ends the current wait; without one, the next wait ends at once. */
  wake(): void;
} {
  let wasWoken = false;
  let endWait: (() => void) | undefined;

  return {
    wait: (durationMs) => {
      if (wasWoken) {
        wasWoken = false;
        return Promise.resolve();
      }
      return new Promise((resolve) => {
        const timer = setTimeout(() => endWait?.(), durationMs);
        endWait = () => {
          endWait = undefined;
          clearTimeout(timer);
          resolve();
        };
      });
    },
    wake: () => {
      if (endWait) endWait();
      else wasWoken = true;
    },
  };
}
