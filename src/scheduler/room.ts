/** Capacity of a worker or the part of it that a task needs; `cpu` in thousandths of a core. */
export type Room = { cpu: number; memoryMb: number; gpus: number };
