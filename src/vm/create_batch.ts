/** What need not leave at once is sent with the next message, or after this, in ms. */
const LATEST_MS = 10;

/**
 * Gathers what is said within one turn of the loop and sends it as one
 * message: framing costs more than content. What is said later goes after
 * what was said before, urgent or not.
 */
export function createBatch<Message>(
  send: (messages: Message[]) => void,
  /** Whether a message may wait for a more urgent one. Default: none may. */
  canWait: (message: Message) => boolean = () => false,
): (message: Message) => void {
  let waiting: Message[] = [];
  let isDue = false;
  let timer: ReturnType<typeof setTimeout> | undefined;

  function sendAll(): void {
    const messages = waiting;
    waiting = [];
    isDue = false;
    clearTimeout(timer);
    timer = undefined;
    if (messages.length > 0) send(messages);
  }

  return (message) => {
    waiting.push(message);
    if (isDue) return;
    if (canWait(message)) {
      timer ??= setTimeout(sendAll, LATEST_MS);
      return;
    }
    isDue = true;
    setImmediate(sendAll);
  };
}
