/**
 * Clock for measuring leases. The monotonic clock does not advance while a virtual machine is suspended, and the time
 * of day can be changed. This clock advances by the larger of both steps, so that a lease ends too early rather than
 * too late.
 */
export class LeaseClock {
  #elapsed = 0;
  #lastMonotonic = performance.now();
  #lastTimeOfDay = Date.now();

  /** Elapsed time since the clock was created, in milliseconds. */
  now(): number {
    const monotonic = performance.now();
    const timeOfDay = Date.now();
    this.#elapsed += Math.max(monotonic - this.#lastMonotonic, timeOfDay - this.#lastTimeOfDay, 0);
    this.#lastMonotonic = monotonic;
    this.#lastTimeOfDay = timeOfDay;
    return this.#elapsed;
  }
}
