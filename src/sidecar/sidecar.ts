import { setTimeout as sleep } from 'node:timers/promises';
import { ResultAsync } from 'neverthrow';
import { instanceAt, ipOf } from '../core/directory/directory.js';
import type { Instance } from '../core/directory/instance.js';
import type { CodeName, Details } from '../core/errors/registry.js';
import { formatFault, type Fault } from '../core/errors/fault.js';
import type { Dialect } from '../core/exchange/dialect.js';
import type { MeshCall } from '../core/exchange/mesh-call.js';
import type { Log } from '../core/logs/log-entry.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import type { FactReader } from '../core/publications/interpretation.js';
import type { StoreReader } from '../core/publications/store-reply.js';
import type { SidecarSettings } from '../core/settings/sidecar-settings.js';
import { CrashTask } from '../runtime/crash-task.js';
import { listen } from '../runtime/listen.js';
import { newIncarnation } from '../runtime/request-ids.js';
import { BoundedLog } from './bounded-log.js';
import { ControlPath, type ControlEvent } from './control-path.js';
import { DispatchTask } from './dispatch-task.js';
import { EntryTask } from './entry-task.js';
import { FrameRouter } from './frame-router.js';
import { callOwnGate, callPeerGate, type GateCall } from './gate-call.js';
import { GateServer } from './gate-server.js';
import { LoadTask } from './load-task.js';
import { MeshTask, type MeshEvent } from './mesh-task.js';
import { PeerTable } from './peer-table.js';
import { QuotaTask } from './quota-task.js';
import { readyServer, type ReadyPaths } from './ready-listener.js';
import { RequestListener } from './request-listener.js';
import { RetryTask } from './retry-task.js';
import { SidecarMetrics } from './sidecar-metrics.js';
import { watchSuspension } from './suspension-watch.js';

/** What a node on the platform meets outside of its own tasks. */
export interface SidecarOutside {
  readonly clock: Clock;
  /** @returns the time of day in milliseconds */
  readonly timeOfDay: () => Milliseconds;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
  readonly log: Log & { readonly flush: () => void };
  readonly dialect: Dialect;
  readonly store: StoreReader;
  readonly readFact: FactReader;
  readonly paths: ReadyPaths;
}

const MAX_FRAME_BYTES = 134_217_728;

/** Part of the memory that bodies of requests may take. */
const BODY_MEMORY_SHARE = 0.3;

/** A peer that cannot read the store learns of a change within this time and a round trip. */
const STATUS_INTERVAL_MS: Milliseconds = 700;

/**
 * The gate serves for this time after the signal. The backend server beside it goes on, and
 * nothing reaches it from here until the next process is up; the calls that run when the gate
 * closes have the rest of the shortest stop to end.
 */
const LEAVE_DELAY_MS: Milliseconds = 2000;

/** Two questions for readiness, one a second, have been answered with no by then. */
const MIN_STOP_MS: Milliseconds = 2600;

/** The process ends this long before it would be killed. */
const STOP_MARGIN_MS: Milliseconds = 400;

const STOP_CHECK_MS: Milliseconds = 50;

/**
 * One node beside a backend server of the platform.
 *
 * Request path: request listener, entry (filters, placement), link or own gate, dispatch,
 * backend server. Control path: publications, then policy, directory, peers and the gate.
 */
export class Sidecar {
  #settings: SidecarSettings;

  readonly #outside: SidecarOutside;

  readonly #log: BoundedLog;

  readonly #metrics = new SidecarMetrics();

  readonly #peers: PeerTable;

  readonly #mesh: MeshTask;

  readonly #router: FrameRouter;

  readonly #gate: DispatchTask;

  readonly #entry: EntryTask;

  readonly #load: LoadTask;

  readonly #quota: QuotaTask;

  readonly #retries: RetryTask;

  readonly #crashes: CrashTask;

  readonly #control: ControlPath;

  readonly #callers: RequestListener;

  readonly #ready;

  readonly #timers: readonly NodeJS.Timeout[];

  #isStopping = false;

  /**
   * @param settings - checked settings of the process
   * @param outside - clock, log, store and the platform's formats
   */
  constructor(settings: SidecarSettings, outside: SidecarOutside) {
    this.#settings = settings;
    this.#outside = outside;
    const { clock, random, dialect } = outside;
    this.#log = new BoundedLog(outside.log, clock);
    this.#peers = new PeerTable({
      ip: settings.ip,
      port: settings.peerAddress.port,
      zone: settings.zone,
      clock,
      isUnreachable: (address) => this.#mesh.isUnreachable(address),
    });
    this.#mesh = new MeshTask({
      node: settings.node,
      address: this.#peers.own,
      clock,
      maxFrameBytes: MAX_FRAME_BYTES,
      onEvent: (event) => this.#receive(event),
    });
    this.#load = new LoadTask({ clock, random });
    this.#retries = new RetryTask({
      clock,
      bound: () => this.#settings.retryBudget,
      nodes: () => this.#peers.size,
    });
    this.#crashes = this.#createCrashes();
    this.#quota = this.#createQuota();
    this.#gate = this.#createGate();
    this.#entry = this.#createEntry();
    this.#callers = new RequestListener({
      clock,
      dialect,
      maxHeldBytes: settings.memoryBytes * BODY_MEMORY_SHARE,
      handle: (request, arrivedAt) => this.#entry.handle(request, arrivedAt),
      isStopping: () => this.#isStopping,
      unread: (code) => this.#metrics.answers.inc({ code }),
    });
    this.#control = this.#createControl();
    this.#router = new FrameRouter({
      peers: this.#peers,
      gate: new GateServer(this.#gate),
      publications: this.#control.publications,
      feed: this.#control.feed,
      quota: this.#quota,
      crashes: this.#crashes,
      addressOf: (link) => this.#mesh.addressOf(link),
    });
    this.#ready = readyServer(outside.paths, () => this.isReady, this.#metrics.registry);
    this.#timers = [
      setInterval(() => this.#tellStatus(), STATUS_INTERVAL_MS),
      // The backend server may have been replaced while the host stood still.
      watchSuspension({
        clock,
        timeOfDay: outside.timeOfDay,
        woke: () => this.#gate.recheck('the host was suspended'),
      }),
    ];
  }

  /** @returns whether the node takes new work */
  get isReady(): boolean {
    return this.#control.policy.lookup !== null && !this.#isStopping;
  }

  /** @returns whether the own backend server is known and takes requests */
  get isServing(): boolean {
    return this.isReady && this.#gate.isOpen;
  }

  /** @returns number of backend servers in the directory */
  get knownBackendServers(): number {
    return this.#control.directory.instances.length;
  }

  /**
   * Starts listening and reading.
   *
   * @returns nothing, or a fault when an address cannot be used
   */
  start(): ResultAsync<void, Fault> {
    const { callerAddress, peerAddress, readyAddress } = this.#settings;
    this.#control.start();
    return ResultAsync.combine([
      listen(this.#callers.server, callerAddress),
      listen(this.#mesh.server, peerAddress),
      listen(this.#ready, readyAddress),
    ]).map((ports) => this.#started(ports));
  }

  #started([caller = 0, peer = 0, metrics = 0]: readonly number[]): void {
    this.#event('nodeStarted', { caller, peer, metrics });
    this.#tellStatus();
  }

  /**
   * Applies settings that were read again. Addresses stay as they are for the life of the process.
   *
   * @param settings - the new settings
   */
  reload(settings: SidecarSettings): void {
    const { seeds, stopDeadlineMs, retryBudget } = settings;
    this.#settings = { ...this.#settings, seeds, stopDeadlineMs, retryBudget };
    this.#event('settingsReloaded', { outcome: 'accepted' });
  }

  /** The settings file was read again and has faults; the old settings stay in force. */
  reloadFailed(faults: readonly Fault[]): void {
    this.#event('settingsReloaded', { outcome: faults.map(formatFault).join('; ') });
  }

  /**
   * Stops in order: takes no new work, lets everything that runs finish, closes all connections.
   *
   * @returns whether everything ended in time
   */
  async stop(): Promise<boolean> {
    const { clock } = this.#outside;
    const startedAt = clock.now();
    this.#isStopping = true;
    this.#event('stopRequested', { open: this.#open });
    await sleep(LEAVE_DELAY_MS);
    this.#mesh.tellAll({ kind: 'leaving' });
    this.#gate.stop();
    const latest = startedAt + this.#settings.stopDeadlineMs - STOP_MARGIN_MS;
    const earliest = startedAt + MIN_STOP_MS;
    while (clock.now() < latest && (this.#open > 0 || clock.now() < earliest)) {
      // eslint-disable-next-line no-await-in-loop
      await sleep(STOP_CHECK_MS);
    }
    const isDrained = this.#open === 0;
    this.#event('nodeStopped', { open: this.#open });
    await this.#close();
    return isDrained;
  }

  /** @returns requests and calls without an answer */
  get #open(): number {
    return this.#entry.open + this.#gate.pending;
  }

  async #close(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    [this.#control, this.#quota, this.#crashes].forEach((task) => task.close());
    [this.#callers.server, this.#ready].forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    this.#mesh.close();
    await this.#gate.close();
    this.#outside.log.flush();
  }

  readonly #event = (code: CodeName, details: Details): void => {
    this.#metrics.events.inc({ code });
    this.#log.write({ kind: 'event', code, details });
  };

  #createCrashes(): CrashTask {
    const { node, zone } = this.#settings;
    return new CrashTask({
      identity: { node, zone, incarnation: newIncarnation() },
      clock: this.#outside.clock,
      broadcastMarks: (marks) => this.#mesh.tellAll({ kind: 'marks', marks }),
      onQuarantined: (fingerprint) => this.#event('quarantined', { fingerprint }),
    });
  }

  #createQuota(): QuotaTask {
    return new QuotaTask({
      node: this.#peers.own,
      clock: this.#outside.clock,
      nodes: () => this.#peers.size,
      aggregator: () => this.#peers.aggregator('quota'),
      sendUsage: (address, usages) => this.#mesh.tell(address, { kind: 'usage', usages }),
      tellAll: (totals) => this.#mesh.tellAll({ kind: 'totals', totals }),
    });
  }

  #createGate(): DispatchTask {
    const { clock, dialect } = this.#outside;
    return new DispatchTask({
      url: `http://${this.#backendAddress}`,
      clock,
      log: this.#log,
      dialect,
      downstreamPressure: () => this.#load.downstreamPressure,
      crashed: (fingerprints) => this.#crashes.recordCrash(fingerprints),
      completed: (fingerprint) => this.#crashes.send({ kind: 'completed', fingerprint }),
      answered: (code) => this.#metrics.gateAnswers.inc({ code }),
      violated: (violation) => {
        this.#metrics.promisesBroken.inc({ promise: violation.promise });
        this.#log.write(violation);
      },
    });
  }

  #createEntry(): EntryTask {
    const { clock, random } = this.#outside;
    return new EntryTask({
      clock,
      random,
      log: this.#log,
      zone: this.#settings.zone,
      origin: this.#settings.service,
      view: {
        lookup: () => this.#control.policy.lookup,
        isQuarantined: (fingerprint) => this.#crashes.isQuarantined(fingerprint),
        spendQuota: (account) => this.#quota.spend(account),
        limitLoad: (route, rank) => this.#load.limit({ route, rank }),
        chooseService: (route) => this.#control.policy.chooseService(route),
        returnDelayMs: (route) => this.#load.returnDelayMs(route),
      },
      directory: () => this.#control.directory,
      send: (instance, call) => this.#send(instance, call),
      isReachable: (instance) => this.#isReachable(instance),
      mayRepeat: (service) => {
        const isGranted = this.#retries.mayRepeat(service);
        this.#metrics.repeats.inc({ granted: String(isGranted) });
        return isGranted;
      },
      requestSeen: (service) => this.#retries.requestSeen(service),
      loadTold: (subject, load, outcome) =>
        this.#load.send({ kind: 'call-ended', subject, load, outcome }),
      answered: (code, tookMs) => {
        this.#metrics.answers.inc({ code });
        this.#metrics.duration.observe(tookMs / 1000);
      },
    });
  }

  get #backendAddress(): string {
    const { host, port } = this.#settings.backendAddress;
    return `${host}:${port}`;
  }

  #send(instance: Instance, call: MeshCall): GateCall {
    return instance.address === this.#backendAddress
      ? callOwnGate(this.#gate, call)
      : callPeerGate(this.#mesh, this.#peers.addressOf(ipOf(instance.address)), call);
  }

  #isReachable({ address }: Instance): boolean {
    return (
      address === this.#backendAddress ||
      this.#peers.isReachable(this.#peers.addressOf(ipOf(address)))
    );
  }

  #createControl(): ControlPath {
    const { clock, random, store, readFact } = this.#outside;
    return new ControlPath({
      clock,
      random,
      store,
      readFact,
      peers: this.#peers,
      seeds: () => this.#settings.seeds,
      tell: (address, frame) => this.#mesh.tell(address, frame),
      report: this.#event,
      onEvent: (event) => this.#handleControl(event),
    });
  }

  #handleControl(event: ControlEvent): void {
    switch (event.kind) {
      case 'policy-applied':
        this.#callers.setLimits(event.policy.limits);
        this.#quota.send({ kind: 'accounts', accounts: event.policy.accounts ?? [] });
        this.#metrics.policyVersion.set(event.policy.version);
        break;
      case 'directory-changed':
        this.#entry.directoryChanged(event.directory);
        this.#updateGate();
        break;
    }
  }

  #updateGate(): void {
    const own = instanceAt(this.#control.directory, this.#backendAddress);
    const services = this.#control.policy.lookup?.services;
    const profile = own === null ? null : (services?.get(own.service) ?? null);
    this.#gate.update(own, profile, this.#closedReason(own));
  }

  #closedReason(own: Instance | null): CodeName | null {
    if (own === null || own.state === 'leaving') return 'nodeLeaving';
    return this.#control.directory.zonesOut.has(own.zone) ? 'zoneOut' : null;
  }

  /** Tells the neighbours how far this node knows the published values, and the metrics. */
  #tellStatus(): void {
    this.#control.tellStatus();
    this.#metrics.links.set(this.#mesh.size);
    this.#metrics.storeReader.set(this.#control.feed.source.kind === 'store' ? 1 : 0);
    const { pressure, downstreamPressure } = this.#gate.load;
    this.#metrics.pressure.set(Math.max(pressure, downstreamPressure));
  }

  #receive(event: MeshEvent): void {
    switch (event.kind) {
      case 'frame':
        this.#router.receive(event.frame, event.link);
        break;
      case 'link-opened':
        this.#peers.arrived(event.address);
        break;
      case 'link-lost':
        this.#control.feed.send({ kind: 'peer-lost', address: event.address });
        this.#event('peerLost', { address: event.address, reason: event.reason });
        break;
      case 'frame-invalid':
        this.#event('peerFrameInvalid', { peer: 'a peer', reason: event.reason });
        break;
      case 'caller-lost':
        this.#router.lost(event.link);
        break;
    }
  }
}
