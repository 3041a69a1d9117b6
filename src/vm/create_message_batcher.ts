/** A message that may wait is sent with the next urgent one, or after this time at the latest, in ms. */
const MAX_DELAY_MS = 50;

/**
 * Creates a batcher, to be called with each message. It collects the messages
 * of one turn of the event loop and sends them as one batch, as framing costs
 * more than content. The order of messages does not change, whether or not a
 * message may wait.
 */
export function createMessageBatcher<Message>(
  send: (messages: Message[]) => void,
  /** Whether a message may wait for an urgent one. Default: no message may. */
  canWait: (message: Message) => boolean = () => false,
): (message: Message) => void {
  let pendingMessages: Message[] = [];
  let isFlushScheduled = false;
  let timer: ReturnType<typeof setTimeout> | undefined;

  function sendAll(): void {
    const messages = pendingMessages;
    pendingMessages = [];
    isFlushScheduled = false;
    clearTimeout(timer);
    timer = undefined;
    if (messages.length > 0) send(messages);
  }

  return (message) => {
    pendingMessages.push(message);
    if (isFlushScheduled) return;
    if (canWait(message)) {
      timer ??= setTimeout(sendAll, MAX_DELAY_MS);
      return;
    }
    isFlushScheduled = true;
    setImmediate(sendAll);
  };
}
