/** Gathers what is said within one turn of the loop and sends it as one message: framing costs more than content. */
export function createBatch<Message>(
  send: (messages: Message[]) => void,
): (message: Message) => void {
  let waiting: Message[] = [];

  function sendAll(): void {
    const messages = waiting;
    waiting = [];
    send(messages);
  }

  return (message) => {
    if (waiting.length === 0) setImmediate(sendAll);
    waiting.push(message);
  };
}
