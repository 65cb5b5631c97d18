import { emptyDirectory, type Directory } from '../core/directory/directory.js';
import type { CodeName, Details } from '../core/errors/registry.js';
import type { MeshFrame } from '../core/exchange/mesh-frame.js';
import type { Clock } from '../core/model/time.js';
import type { Policy } from '../core/policy/policy.js';
import type { FactReader } from '../core/publications/interpretation.js';
import type { StoreReader } from '../core/publications/store-reply.js';
import { ChangeFeedTask } from './change-feed-task.js';
import type { PeerTable } from './peer-table.js';
import { PolicyTask } from './policy-task.js';
import { PublicationTask } from './publication-task.js';

/** What the control path tells the rest of its node. */
export type ControlEvent =
  | { readonly kind: 'policy-applied'; readonly policy: Policy }
  /** Backend servers or zones changed; sent after the policy that was read with them. */
  | { readonly kind: 'directory-changed'; readonly directory: Directory };

/** What the control path needs of its node. */
export interface ControlPathOptions {
  readonly clock: Clock;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
  readonly store: StoreReader;
  readonly readFact: FactReader;
  readonly peers: PeerTable;
  /** @returns peers that are asked while nothing is known yet */
  readonly seeds: () => readonly string[];
  readonly tell: (address: string, frame: MeshFrame) => void;
  readonly report: (code: CodeName, details: Details) => void;
  readonly onEvent: (event: ControlEvent) => void;
}

/** From the store or a peer that reads it to the policy and the directory in force. */
export class ControlPath {
  readonly #options: ControlPathOptions;

  readonly publications: PublicationTask;

  readonly feed: ChangeFeedTask;

  /** Policy in force, and the choices that its split routes have made. */
  readonly policy = new PolicyTask();

  #directory: Directory = emptyDirectory;

  /**
   * @param options - the store, the peers and the node's handlers
   */
  constructor(options: ControlPathOptions) {
    this.#options = options;
    const { clock, random, store, readFact, peers, tell, report } = options;
    this.publications = new PublicationTask({
      clock,
      random,
      store,
      readFact,
      report,
      changed: (policy, directory) => this.#applyView(policy, directory),
      answered: () => this.feed.send({ kind: 'store-answered' }),
      statusChanged: () => this.#handleStoreStatus(),
    });
    this.feed = new ChangeFeedTask({ clock, peers, tell, report, publications: this.publications });
  }

  /** @returns backend servers and zones as far as they are known */
  get directory(): Directory {
    return this.#directory;
  }

  /** Starts to read. */
  start(): void {
    this.publications.send({ kind: 'start' });
  }

  /** Reads no more. */
  close(): void {
    this.publications.close();
    this.feed.close();
  }

  /** Tells the neighbours what is known here, and the seeds while nothing is. */
  sendStatus(): void {
    const { peers, seeds, tell } = this.#options;
    const seedAddresses = this.policy.lookup === null ? seeds() : [];
    const { status } = this.publications;
    [...peers.neighbours, ...seedAddresses].forEach((address) => {
      tell(address, { kind: 'status', ...status });
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
