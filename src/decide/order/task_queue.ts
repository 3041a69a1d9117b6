import { BinaryHeap } from "../../utils/binary_heap.ts";
import type { ClientShare } from "../route/client_share.ts";
import type { QueuedTask } from "../route/queued_task.ts";

/**
 * Queue of waiting tasks that is fair among clients: the next task is the one of
 * the lowest rank of the client with the lowest virtual time, that is the least
 * service in relation to its weight. Cancelled tasks are skipped.
 */
export class TaskQueue {
  #heaps = new Map<string, BinaryHeap<QueuedTask>>();

  /** Adds a task under the client and the rank of its job. */
  push(task: QueuedTask): void {
    const client = task.job.client;
    let heap = this.#heaps.get(client);
    if (!heap) {
      heap = new BinaryHeap();
      this.#heaps.set(client, heap);
    }
    heap.push(task, task.job.rank);
  }

  /** Returns the next task without removing it. */
  peek(shares: Map<string, ClientShare>): QueuedTask | undefined {
    const client = this.#findNextClient(shares);
    return client === undefined ? undefined : this.#heaps.get(client)?.peek();
  }

  /** Removes and returns the next task. */
  pop(shares: Map<string, ClientShare>): QueuedTask | undefined {
    const client = this.#findNextClient(shares);
    return client === undefined ? undefined : this.#heaps.get(client)?.pop();
  }

  /** Removes and returns every waiting task. */
  drain(): QueuedTask[] {
    const tasks = [...this.#heaps.values()].flatMap((heap) => heap.drain());
    this.#heaps.clear();
    return tasks.filter(isWaiting);
  }

  #findNextClient(shares: Map<string, ClientShare>): string | undefined {
    let next: string | undefined;
    let lowestMs = Infinity;
    for (const [client, heap] of this.#heaps) {
      this.#dropCancelled(heap);
      if (heap.size === 0) {
        this.#heaps.delete(client);
        continue;
      }
      const virtualTimeMs = shares.get(client)?.virtualTimeMs ?? 0;
      if (virtualTimeMs < lowestMs) {
        lowestMs = virtualTimeMs;
        next = client;
      }
    }
    return next;
  }

  #dropCancelled(heap: BinaryHeap<QueuedTask>): void {
    let top = heap.peek();
    while (top && !isWaiting(top)) {
      heap.pop();
      top = heap.peek();
    }
  }
}

function isWaiting(task: QueuedTask): boolean {
  return task.job.tasks[task.index].phase === "waiting";
}
