import { isCompletion } from '../core/crash/crash-message.js';
import type { Suspicion } from '../core/crash/suspicion.js';
import {
  computeFingerprint,
  fingerprintOfCall,
  type FingerprintedRequest,
} from '../core/exchange/fingerprint.js';
import type { AdmittedRequest } from '../core/exchange/admission-pipeline.js';
import type { MeshCall, MeshOutcome } from '../core/exchange/mesh-call.js';
import type { SidecarSettings } from '../core/settings/sidecar-settings.js';
import { CrashTask } from '../runtime/crash-task.js';
import { newIncarnation } from '../runtime/request-ids.js';
import { LoadExchangeTask } from './load-exchange-task.js';
import { LoadTask } from './load-task.js';
import type { MeshTask } from './mesh-task.js';
import type { PeerTable } from './peer-table.js';
import { QuotaTask } from './quota-task.js';
import { RetryTask } from './retry-task.js';
import type { SidecarDependencies } from './sidecar-dependencies.js';

/** Hashing larger bodies takes too long for every call; equal requests rarely have them. */
const REMEMBERED_BODY_BYTES = 65_536;

/** Dependencies of the tasks. */
export interface FleetTasksOptions {
  readonly dependencies: Pick<SidecarDependencies, 'clock' | 'random'>;
  readonly settings: () => SidecarSettings;
  readonly peers: PeerTable;
  readonly mesh: MeshTask;
  readonly onQuarantined: (fingerprint: string) => void;
}

/** Tasks that keep, with those of the other nodes, what holds for the whole fleet. */
export class FleetTasks {
  readonly loads: LoadTask;

  readonly loadExchange: LoadExchangeTask;

  readonly quotas: QuotaTask;

  readonly retries: RetryTask;

  readonly crashes: CrashTask;

  /**
   * @param options - the other nodes and the links to them
   */
  constructor({ dependencies, settings, peers, mesh, onQuarantined }: FleetTasksOptions) {
    const { clock, random } = dependencies;
    const { node, zone } = settings();
    this.loads = new LoadTask({ clock, random });
    this.loadExchange = new LoadExchangeTask({
      clock,
      loads: this.loads,
      aggregator: () => peers.findAggregator('route loads'),
      sendReports: (address, loads) =>
        mesh.sendFrame(address, { kind: 'usage', usages: [], loads }),
      broadcastLoads: (loads) => mesh.broadcast({ kind: 'totals', totals: [], loads }),
    });
    this.quotas = new QuotaTask({
      node: peers.own,
      clock,
      nodes: () => peers.nodeCount,
      aggregator: () => peers.findProvenAggregator('quota'),
      preferredAggregator: () => peers.findAggregator('quota'),
      sendUsage: (address, usages) => mesh.sendFrame(address, { kind: 'usage', usages }),
      broadcastTotals: (totals) => mesh.broadcast({ kind: 'totals', totals }),
    });
    this.retries = new RetryTask({
      clock,
      random,
      bound: () => settings().retryBudget,
      nodes: () => peers.nodeCount,
    });
    this.crashes = new CrashTask({
      identity: { node, zone, incarnation: newIncarnation() },
      clock,
      broadcast: (news) => mesh.broadcast({ kind: 'marks', ...news }),
      onQuarantined,
    });
  }

  /**
   * Checks what is known against a request, of which equal ones may have crashed backend servers.
   *
   * @param request - the request
   * @returns the suspicion
   */
  checkRequest(request: FingerprintedRequest): Suspicion {
    if (!this.crashes.hasRecords) return { kind: 'none' };
    return this.crashes.checkRequest(computeFingerprint(request));
  }

  /**
   * Records the answer of the own backend server to a call. A completed run clears equal requests
   * of earlier crashes, and of the next crash of the server.
   *
   * @param call - the call
   * @param status - HTTP status of the answer
   */
  recordCompletion(call: MeshCall, status: number): void {
    const isHashed = this.crashes.hasRecords || call.body.length <= REMEMBERED_BODY_BYTES;
    if (!isCompletion(status) || !isHashed) return;
    this.crashes.send({ kind: 'completed', fingerprint: fingerprintOfCall(call) });
  }

  /**
   * Records the reply of a gate to a request of this entry.
   *
   * @param admitted - the request
   * @param outcome - its outcome
   */
  recordReply({ suspectedAs }: AdmittedRequest, outcome: MeshOutcome): void {
    if (suspectedAs === null || outcome.kind !== 'answered') return;
    if (!isCompletion(outcome.status)) return;
    this.crashes.send({ kind: 'completed-anywhere', fingerprint: suspectedAs });
  }

  /**
   * Takes one retry from the budget. A request that has been quarantined since its first send gets
   * none.
   *
   * @param admitted - the request
   * @returns whether it may be sent to another backend server
   */
  acquireRetry({ service, suspectedAs }: AdmittedRequest): boolean {
    if (suspectedAs !== null && this.crashes.isQuarantined(suspectedAs)) return false;
    return this.retries.acquire(service);
  }

  /** Stops the timers. */
  close(): void {
    [this.loadExchange, this.quotas, this.crashes].forEach((task) => task.close());
  }
}
