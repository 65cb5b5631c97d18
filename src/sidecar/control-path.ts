import { emptyDirectory, type Directory } from '../core/directory/directory.js';
import type { CodeName, Details } from '../core/errors/registry.js';
import type { MeshFrame } from '../core/exchange/mesh-frame.js';
import type { Clock } from '../core/model/time.js';
import type { Policy } from '../core/policy/policy.js';
import type { ValueDecoder } from '../core/publications/interpretation.js';
import type { StoreReader } from '../core/publications/store-reply.js';
import { ChangeFeedTask } from './change-feed-task.js';
import type { PeerTable } from './peer-table.js';
import { PolicyTask } from './policy-task.js';
import { PublicationTask } from './publication-task.js';

/** Event that the control path reports to its node. */
export type ControlEvent =
  | { readonly kind: 'policy-applied'; readonly policy: Policy }
  /** Backend servers or zones changed. Sent after the policy from the same read. */
  | { readonly kind: 'directory-changed'; readonly directory: Directory };

/** Dependencies of the control path. */
export interface ControlPathOptions {
  readonly clock: Clock;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
  readonly store: StoreReader;
  readonly decodeValue: ValueDecoder;
  readonly peers: PeerTable;
  /** @returns addresses of the peers to contact before a policy is in force */
  readonly seeds: () => readonly string[];
  readonly sendFrame: (address: string, frame: MeshFrame) => void;
  readonly report: (code: CodeName, details: Details) => void;
  readonly onEvent: (event: ControlEvent) => void;
}

/**
 * Pipeline from the published values, read from the store or received from a peer, to the policy
 * and the directory in force.
 */
export class ControlPath {
  readonly #options: ControlPathOptions;

  readonly publications: PublicationTask;

  readonly feed: ChangeFeedTask;

  /** Policy in force, and the state of the weighted choice of each route. */
  readonly policy = new PolicyTask();

  #directory: Directory = emptyDirectory;

  /**
   * @param options - the store, the peers and the node's event handlers
   */
  constructor(options: ControlPathOptions) {
    this.#options = options;
    const { clock, random, store, decodeValue, peers, sendFrame, report } = options;
    this.publications = new PublicationTask({
      clock,
      random,
      store,
      decodeValue,
      report,
      changed: (policy, directory) => this.#applyView(policy, directory),
      answered: () => this.feed.send({ kind: 'store-answered' }),
      statusChanged: () => this.#handleStoreStatus(),
      askPeers: (round) => this.#askPeers(round),
    });
    this.feed = new ChangeFeedTask({
      clock,
      peers,
      sendFrame,
      report,
      publications: this.publications,
    });
  }

  /** @returns the backend servers, and the zones taken out of service, as last read */
  get directory(): Directory {
    return this.#directory;
  }

  /** Starts reading the store. */
  start(): void {
    this.publications.send({ kind: 'start' });
  }

  /** Stops reading and clears the timers. */
  close(): void {
    this.publications.close();
    this.feed.close();
  }

  /** Sends the known revision to the neighbours, and to the seeds before a policy is in force. */
  sendStatus(): void {
    const { peers, seeds, sendFrame } = this.#options;
    const seedAddresses = this.policy.lookup === null ? seeds() : [];
    const { status } = this.publications;
    [...peers.neighbours, ...seedAddresses].forEach((address) => {
      sendFrame(address, { kind: 'status', ...status });
    });
  }

  #askPeers(round: number): void {
    const { peers, sendFrame, report } = this.#options;
    const { status } = this.publications;
    const asked = peers.listSpread(round);
    report('outageAsked', { peers: asked.join(', ') || 'none', round });
    asked.forEach((address) => {
      sendFrame(address, { kind: 'status', ...status, asksUnbroken: true });
    });
  }

  #handleStoreStatus(): void {
    this.sendStatus();
    if (this.publications.status.isStoreLost) this.feed.send({ kind: 'store-lost' });
  }

  #applyView(policy: Policy | null, directory: Directory): void {
    const { peers, report, onEvent } = this.#options;
    this.#directory = directory;
    peers.update(directory);
    if (policy !== null && this.policy.apply(policy)) {
      onEvent({ kind: 'policy-applied', policy });
      const { revision } = this.publications.status;
      report('policyApplied', { version: policy.version, revision });
    }
    onEvent({ kind: 'directory-changed', directory });
    const leaving = directory.instances.filter(({ state }) => state === 'leaving').length;
    report('directoryChanged', {
      serving: directory.instances.length - leaving,
      leaving,
      zonesOut: [...directory.zonesOut].join(',') || 'none',
    });
  }
}
