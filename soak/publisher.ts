import { toDocument } from '../src/core/configuration/document.js';
import { FakeService, hostDocument } from './fake-service.js';
import type { SimulatedHost } from './simulated-host.js';
import type { SimulatedTime } from './simulated-time.js';
import { configurationOf } from './fleet-configuration.js';
import type { InjectedDefect } from './injected-defect.js';
import { ZONES, type Step } from './step.js';

/**
 * Limit for a change to take effect: 3 s, which the promises call "a few seconds", and the time to
 * detect the change.
 */
const PROPAGATION_LIMIT_MS = 5000;

/** Publishes the configuration and the host lists, and records the time of each change. */
export class Publisher {
  readonly service: FakeService;

  readonly zonesOut = new Map<string, number>();

  readonly withdrawn = new Map<string, number>();

  readonly leaving = new Map<string, number>();

  /** End of the latest partition. */
  connectedSince = 0;

  #revision = 0;

  constructor(
    readonly time: SimulatedTime,
    readonly defect: InjectedDefect | null,
    readonly hosts: () => readonly SimulatedHost[],
  ) {
    this.service = new FakeService(time);
  }

  publishAll(): void {
    this.#publish();
    ZONES.forEach((zone) => this.publishHosts(zone));
  }

  applyStep(step: Extract<Step, { kind: 'zone' | 'withdraw' | 'grant' }>): void {
    switch (step.kind) {
      case 'zone': {
        const isLast = this.zonesOut.size === ZONES.length - 1;
        if (step.state === 'in') this.zonesOut.delete(step.zone);
        else if (!isLast) this.#recordChange(this.zonesOut, step.zone);
        break;
      }
      case 'withdraw':
        this.#recordChange(this.withdrawn, step.account);
        break;
      case 'grant':
        this.withdrawn.delete(step.account);
        break;
    }
    this.#publish();
  }

  setLeaving(host: SimulatedHost, isLeaving: boolean): void {
    if (isLeaving) this.#recordChange(this.leaving, host.name);
    else this.leaving.delete(host.name);
    this.publishHosts(host.zone);
  }

  publishHosts(zone: string): void {
    this.#revision += 1;
    const hosts = this.hosts().filter((host) => host.zone === zone);
    const leaving = this.#publishedNames('frozen-hosts', this.leaving);
    const list = hosts.map(({ name, service, address }) => ({
      backendServer: name,
      service,
      zone,
      peerAddress: address,
      state: leaving.has(name) ? ('leaving' as const) : ('live' as const),
    }));
    this.service.publish(hostDocument(zone, this.#revision, list));
  }

  /** Whether a node has been able to receive a change for longer than the propagation limit. */
  isChangeDue(host: SimulatedHost, changedAt: number | undefined, at: number): boolean {
    if (changedAt === undefined || this.service.state !== 'up') return false;
    const { awakeSince } = host.process;
    const since = Math.max(changedAt, this.service.upSince, this.connectedSince, awakeSince);
    return at - since > PROPAGATION_LIMIT_MS;
  }

  #recordChange(changes: Map<string, number>, name: string): void {
    if (!changes.has(name)) changes.set(name, this.time.now);
  }

  #publishedNames(
    hidingDefect: InjectedDefect,
    changes: ReadonlyMap<string, number>,
  ): ReadonlySet<string> {
    return new Set(this.defect === hidingDefect ? [] : changes.keys());
  }

  #publish(): void {
    this.#revision += 1;
    const out = this.#publishedNames('frozen-zone', this.zonesOut);
    const withdrawn = this.#publishedNames('frozen-key', this.withdrawn);
    const configuration = configurationOf(this.#revision, out, withdrawn, this.defect);
    this.service.publish(toDocument(configuration));
  }
}
