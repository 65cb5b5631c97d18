import { ok, type Result } from 'neverthrow';
import { DocumentReader } from '../core/configuration/document.js';
import { Lookup } from '../core/configuration/lookup.js';
import type { Fault } from '../core/errors/fault.js';
import type { Identity } from '../core/membership/handshake.js';
import type { BackendServer, Configuration } from '../core/model/configuration.js';
import type { Document } from '../core/model/document.js';
import type { GateState } from '../core/model/load.js';
import type { CreditTask } from './credit-task.js';
import type { GateTask } from './gate-task.js';
import { hostsOf } from './host-list.js';
import type { MembershipTask } from './membership-task.js';

/** Options of the configuration task. */
export interface ConfigurationTaskOptions {
  readonly identity: Identity;
  readonly membership: MembershipTask;
  readonly credit: CreditTask;
  readonly createGate: (backendServer: BackendServer) => GateTask;
}

/** With more seats, links to them open only when tokens of an account are first requested. */
const EAGER_SEATS_MAX = 32;

const HOSTS_TOPIC_PREFIX = 'hosts/';

/** Owns the configuration in force, the gate, and whether the gate accepts work. */
export class ConfigurationTask {
  readonly #options: ConfigurationTaskOptions;

  readonly #reader = new DocumentReader();

  /** Last configuration that passed its check, kept so that it is not parsed again on apply. */
  #lastChecked: { readonly digest: string; readonly configuration: Configuration } | null = null;

  #lookup: Lookup | null = null;

  #gate: GateTask | null = null;

  #isZoneOut = false;

  /** Whether the host list marks the host of this node as leaving. */
  #isLeaving = false;

  /** Whether the configuration in force lacks the backend server of this node. */
  #isUnlisted = false;

  #isStopping = false;

  /**
   * @param options - identity, and the tasks that receive each new configuration
   */
  constructor(options: ConfigurationTaskOptions) {
    this.#options = options;
  }

  /** @returns lookup tables of the configuration in force, or null before the first one */
  get lookup(): Lookup | null {
    return this.#lookup;
  }

  /** @returns the gate, or null before the first configuration */
  get gate(): GateTask | null {
    return this.#gate;
  }

  /**
   * Checks a document before it is applied.
   *
   * @param document - the document; host lists always pass, since they are only hints
   * @returns nothing, or all faults of the document
   */
  check(document: Document): Result<void, readonly Fault[]> {
    if (document.topic !== 'configuration') return ok();
    return this.#reader.read(document).map((configuration) => {
      this.#lastChecked = { digest: document.digest, configuration };
      return undefined;
    });
  }

  /**
   * Applies a document as a whole.
   *
   * @param document - a document that passed its check
   */
  apply(document: Document): void {
    if (document.topic !== 'configuration') {
      this.#applyHosts(document, document.topic.slice(HOSTS_TOPIC_PREFIX.length));
    } else if (this.#lastChecked?.digest === document.digest) {
      this.#applyConfiguration(this.#lastChecked.configuration);
    }
  }

  /** Makes the gate refuse new work because the node is stopping. */
  stop(): void {
    this.#isStopping = true;
    this.#updateGateState();
  }

  #applyConfiguration(configuration: Configuration): void {
    const { identity, membership, credit } = this.#options;
    const lookup = new Lookup(configuration);
    this.#lookup = lookup;
    membership.send({ kind: 'zones-configured', zones: configuration.zones });
    const hasFewSeats = configuration.seats.length <= EAGER_SEATS_MAX;
    membership.send({
      kind: 'seat-links-requested',
      seats: hasFewSeats ? configuration.seats : [],
    });
    credit.configure(configuration);
    const backendServer = lookup.backendServer(identity.node);
    if (backendServer !== null) this.#configureGate(backendServer, configuration);
    this.#isZoneOut = lookup.zone(identity.zone)?.state === 'out';
    this.#isUnlisted = backendServer === null;
    this.#updateGateState();
  }

  #configureGate(backendServer: BackendServer, configuration: Configuration): void {
    this.#gate ??= this.#options.createGate(backendServer);
    const weights = new Map(configuration.accounts.map(({ name, weight }) => [name, weight]));
    this.#gate.configure(backendServer, weights);
  }

  #applyHosts(document: Document, zone: string): void {
    const { identity, membership } = this.#options;
    const hosts = hostsOf(document);
    membership.send({ kind: 'hosts-listed', zone, hosts });
    const own = hosts.find(({ backendServer }) => backendServer === identity.node);
    if (own === undefined) return;
    this.#isLeaving = own.state === 'leaving';
    this.#updateGateState();
  }

  #updateGateState(): void {
    this.#gate?.changeState(this.#gateState());
  }

  #gateState(): GateState {
    if (this.#isStopping || this.#isLeaving || this.#isUnlisted) return 'leaving';
    return this.#isZoneOut ? 'zone-out' : 'serving';
  }
}
