/** Signals that a process handles itself. */
export type SignalHandling =
  /** SIGTERM and SIGINT stop the process. */
  | 'stop'
  /** In addition, SIGHUP reloads the settings. */
  | 'stop-and-reload';

/** Owns the handlers of the signals of the process. */
export class ProcessSignals {
  #isReceiving = false;

  #isReloading = false;

  #isStopRequested = false;

  #isReloadRequested = false;

  #reload: (() => void) | null = null;

  #resolveStop = (): void => {};

  /** Resolves at the first signal to stop. Later ones change nothing: the stop is under way. */
  readonly stopRequested = new Promise<void>((resolve) => {
    this.#resolveStop = resolve;
  });

  /** @returns whether a signal to stop has arrived */
  get isStopRequested(): boolean {
    return this.#isStopRequested;
  }

  /**
   * Installs the handlers. Without a handler, each of the signals ends the process at once.
   *
   * @param handling - signals to handle
   */
  receive(handling: SignalHandling): void {
    if (!this.#isReceiving) {
      this.#isReceiving = true;
      process.on('SIGTERM', this.#stop);
      // As users of a terminal expect, the second SIGINT ends the process at once.
      process.once('SIGINT', this.#stop);
    }
    if (handling === 'stop' || this.#isReloading) return;
    this.#isReloading = true;
    process.on('SIGHUP', this.#requestReload);
  }

  /**
   * Sets the handler of SIGHUP. A signal that arrived before is handled now.
   *
   * @param reload - reads the settings again
   */
  onReload(reload: () => void): void {
    this.#reload = reload;
    if (this.#isReloadRequested) reload();
    this.#isReloadRequested = false;
  }

  readonly #stop = (): void => {
    this.#isStopRequested = true;
    this.#resolveStop();
  };

  readonly #requestReload = (): void => {
    if (this.#reload === null) this.#isReloadRequested = true;
    else this.#reload();
  };
}
