import {
  computeFingerprint,
  fingerprintOfCall,
  type FingerprintedRequest,
} from '../core/exchange/fingerprint.js';
import type { MeshCall } from '../core/exchange/mesh-call.js';
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
      broadcastRecords: (marks) => mesh.broadcast({ kind: 'marks', marks }),
      onQuarantined,
    });
  }

  /**
   * Checks whether a request is refused because equal ones crashed backend servers.
   *
   * @param request - the request
   * @returns whether its fingerprint is quarantined
   */
  isQuarantined(request: FingerprintedRequest): boolean {
    return this.crashes.hasRecords && this.crashes.isQuarantined(computeFingerprint(request));
  }

  /**
   * Records that a backend server completed a call, which clears it of earlier crashes.
   *
   * @param call - the call
   */
  recordCompletion(call: MeshCall): void {
    if (!this.crashes.hasRecords) return;
    this.crashes.send({ kind: 'completed', fingerprint: fingerprintOfCall(call) });
  }

  /** Stops the timers. */
  close(): void {
    [this.loadExchange, this.quotas, this.crashes].forEach((task) => task.close());
  }
}
