/** Creates a pause that something that happens can end early. */
export function createPause(): {
  /** Resolves after a time, in ms, or at the next `wake`. */
  wait(durationMs: number): Promise<void>;
  /** Ends the pause that is being waited for, or the next one at once. */
  wake(): void;
} {
  let isWoken = false;
  let end: (() => void) | undefined;

  return {
    wait: (durationMs) => {
      if (isWoken) {
        isWoken = false;
        return Promise.resolve();
      }
      return new Promise((resolve) => {
        const timer = setTimeout(() => end?.(), durationMs);
        end = () => {
          end = undefined;
          clearTimeout(timer);
          resolve();
        };
      });
    },
    wake: () => {
      if (end) end();
      else isWoken = true;
    },
  };
}
