/** A binary min-heap, ordered by the rank with which each item is pushed. */
export class BinaryHeap<Item> {
  #items: Item[] = [];
  #ranks: number[] = [];

  /** Number of items in the heap. */
  get size(): number {
    return this.#items.length;
  }

  /** Adds an item. Items with a lower rank are returned first. */
  push(item: Item, rank: number): void {
    this.#items.push(item);
    this.#ranks.push(rank);
    this.#siftUp(this.#items.length - 1);
  }

  /** Returns the item with the lowest rank without removing it; undefined when the heap is empty. */
  peek(): Item | undefined {
    return this.#items[0];
  }

  /** Removes and returns the item with the lowest rank; undefined when the heap is empty. */
  pop(): Item | undefined {
    const top = this.#items[0];
    const lastItem = this.#items.pop();
    const lastRank = this.#ranks.pop();
    if (this.#items.length > 0) {
      this.#items[0] = lastItem as Item;
      this.#ranks[0] = lastRank as number;
      this.#siftDown(0);
    }
    return top;
  }

  /** Removes all items and returns them in no particular order. */
  drain(): Item[] {
    const items = this.#items;
    this.#items = [];
    this.#ranks = [];
    return items;
  }

  #siftUp(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (this.#ranks[parent] <= this.#ranks[index]) return;
      this.#swap(parent, index);
      index = parent;
    }
  }

  #siftDown(start: number): void {
    let index = start;
    while (true) {
      const left = 2 * index + 1;
      const right = left + 1;
      let lowest = index;
      if (left < this.size && this.#ranks[left] < this.#ranks[lowest]) {
        lowest = left;
      }
      if (right < this.size && this.#ranks[right] < this.#ranks[lowest]) {
        lowest = right;
      }
      if (lowest === index) return;
      this.#swap(lowest, index);
      index = lowest;
    }
  }

  #swap(one: number, other: number): void {
    const item = this.#items[one];
    this.#items[one] = this.#items[other];
    this.#items[other] = item;
    const rank = this.#ranks[one];
    this.#ranks[one] = this.#ranks[other];
    this.#ranks[other] = rank;
  }
}
