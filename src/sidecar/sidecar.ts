import { setTimeout as sleep } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import { closedReason, findInstance } from '../core/directory/directory.js';
import type { CodeName, Details } from '../core/errors/registry.js';
import { formatFault, type Fault } from '../core/errors/fault.js';
import { BODY_MEMORY_SHARE, CALLER_DESCRIPTOR_SHARE } from '../core/memory/resource-shares.js';
import { findTimeLimit } from '../core/exchange/admission-pipeline.js';
import type { Milliseconds } from '../core/model/time.js';
import type { SidecarSettings } from '../core/settings/sidecar-settings.js';
import { RateLimitedLog } from './rate-limited-log.js';
import { ControlPath, type ControlEvent } from './control-path.js';
import { DispatchTask } from './dispatch-task.js';
import { EntryTask } from './entry-task.js';
import { FleetTasks } from './fleet-tasks.js';
import { FrameRouter } from './frame-router.js';
import { GateCaller } from './gate-caller.js';
import { GateServer } from './gate-server.js';
import { HeldBodies } from './held-bodies.js';
import { handleMeshEvent } from './mesh-events.js';
import { MAX_FRAME_BYTES, MeshTask, type MeshEvent } from './mesh-task.js';
import { openServers, type NodePorts, type NodeServers } from './open-servers.js';
import { PauseWatch, type Pause } from './pause-watch.js';
import { PeerTable } from './peer-table.js';
import { ProcessorWatch } from './processor-watch.js';
import { ReadBarrier } from './read-barrier.js';
import { createReadyServer } from './ready-server.js';
import { RequestListener } from './request-listener.js';
import { ResourceReport } from './resource-report.js';
import {
  answerOpenRequests,
  canServeUntil,
  GATE_CLOSE_DELAY_MS,
  waitForDrain,
  type PlannedStop,
} from './graceful-stop.js';
import type { SidecarDependencies } from './sidecar-dependencies.js';
import { SidecarMetrics } from './sidecar-metrics.js';

/**
 * Interval of the status messages to peers. A peer that cannot read the store receives a change
 * within this interval plus one round trip.
 */
const STATUS_INTERVAL_MS: Milliseconds = 700;

/**
 * A node that runs beside one backend server of the platform.
 *
 * Request path: request listener, entry (filters and placement), link to a peer or own gate,
 * dispatch, backend server. Control path: published values, then policy, directory, peers and
 * gate.
 */
export class Sidecar {
  #settings: SidecarSettings;

  readonly #dependencies: SidecarDependencies;

  readonly #log: RateLimitedLog;

  readonly #metrics = new SidecarMetrics();

  readonly #peers: PeerTable;

  readonly #readBarrier: ReadBarrier;

  readonly #bodies: HeldBodies;

  readonly #mesh: MeshTask;

  readonly #frameRouter: FrameRouter;

  readonly #gate: DispatchTask;

  readonly #entry: EntryTask;

  readonly #processorWatch: ProcessorWatch;

  readonly #fleet: FleetTasks;

  readonly #controlPath: ControlPath;

  readonly #requestListener: RequestListener;

  readonly #readyServer;

  readonly #pauseWatch: PauseWatch;

  readonly #resourceReport: ResourceReport;

  readonly #statusTimer: NodeJS.Timeout;

  #plannedStop: PlannedStop | null = null;

  /** Ends a start that is still waiting for an address. */
  readonly #startAbort = new AbortController();

  /**
   * @param settings - validated settings of the process
   * @param dependencies - clocks, random numbers, log, store client and the platform's formats
   */
  constructor(settings: SidecarSettings, dependencies: SidecarDependencies) {
    this.#settings = settings;
    this.#dependencies = dependencies;
    const { clock } = dependencies;
    this.#log = new RateLimitedLog(dependencies.log, clock);
    this.#peers = new PeerTable({
      ip: settings.ip,
      port: settings.peerAddress.port,
      zone: settings.zone,
      clock,
      isUnreachable: (address) => this.#mesh.isUnreachable(address),
      hasFailed: (address) => this.#mesh.hasFailed(address),
    });
    this.#readBarrier = new ReadBarrier(clock);
    this.#bodies = this.#createBodies();
    this.#mesh = new MeshTask({
      node: settings.node,
      address: this.#peers.own,
      clock,
      maxFrameBytes: MAX_FRAME_BYTES,
      readBarrier: this.#readBarrier,
      bodies: this.#bodies,
      onEvent: (event) => this.#handleMeshEvent(event),
    });
    this.#processorWatch = new ProcessorWatch(clock);
    this.#fleet = new FleetTasks({
      dependencies,
      settings: () => this.#settings,
      peers: this.#peers,
      mesh: this.#mesh,
      onQuarantined: (fingerprint) => this.#reportEvent('quarantined', { fingerprint }),
    });
    this.#pauseWatch = new PauseWatch({
      clock,
      timeOfDay: dependencies.timeOfDay,
      onCheck: (lateMs) => this.#metrics.eventLoopDelay.observe(lateMs / 1000),
      onPause: (pause) => this.#handlePause(pause),
      onSettled: () => [this.#gate, this.#requestListener].forEach((task) => task.release()),
    });
    this.#gate = this.#createGate();
    this.#entry = this.#createEntry();
    this.#requestListener = this.#createRequestListener();
    this.#resourceReport = new ResourceReport({
      hostLimitBytes: settings.memoryBytes,
      metrics: this.#metrics,
      heldBytes: () => this.#bodies.held,
      pacer: dependencies.pacer,
      report: this.#reportEvent,
    });
    this.#controlPath = this.#createControlPath();
    this.#frameRouter = new FrameRouter({
      peers: this.#peers,
      gate: new GateServer(this.#gate),
      publications: this.#controlPath.publications,
      feed: this.#controlPath.feed,
      quota: this.#fleet.quotas,
      loads: this.#fleet.loadExchange,
      crashes: this.#fleet.crashes,
      addressOf: (link) => this.#mesh.addressOf(link),
    });
    this.#readyServer = createReadyServer(
      dependencies.paths,
      () => this.isReady,
      this.#metrics.registry,
    );
    this.#statusTimer = setInterval(() => this.#updateStatus(), STATUS_INTERVAL_MS);
  }

  /** @returns whether the node accepts new requests */
  get isReady(): boolean {
    return this.#controlPath.policy.lookup !== null && this.#plannedStop === null;
  }

  /** @returns whether the node accepts requests and the gate of its backend server is open */
  get isServing(): boolean {
    return this.isReady && this.#gate.isOpen;
  }

  /** @returns the number of backend servers in the directory */
  get backendServerCount(): number {
    return this.#controlPath.directory.instances.length;
  }

  /**
   * Starts reading the store and listening on all addresses.
   *
   * @returns nothing, or a fault when an address cannot be bound
   */
  start(): ResultAsync<void, Fault> {
    const servers: NodeServers = {
      callers: this.#requestListener.server,
      peers: this.#mesh.server,
      ready: this.#readyServer,
    };
    this.#controlPath.start();
    return openServers(servers, this.#settings, {
      signal: this.#startAbort.signal,
      onFault: ({ code, details }) => this.#reportEvent(code, details),
    }).map((ports) => this.#reportStart(ports));
  }

  #reportStart(ports: NodePorts): void {
    this.#reportEvent('nodeStarted', { ...ports });
    this.#updateStatus();
  }

  /**
   * Applies reloaded settings: the seeds, the stop deadline and the retry budget. All other
   * settings, such as addresses, stay unchanged until the process restarts.
   *
   * @param settings - the new settings
   */
  reload(settings: SidecarSettings): void {
    const { seeds, stopDeadlineMs, retryBudget } = settings;
    this.#settings = { ...this.#settings, seeds, stopDeadlineMs, retryBudget };
    this.#reportEvent('settingsReloaded', { outcome: 'accepted' });
  }

  /**
   * Reports a failed reload of the settings file. The previous settings stay in force.
   *
   * @param faults - why the file was rejected
   */
  reportReloadFailure(faults: readonly Fault[]): void {
    this.#reportEvent('settingsReloaded', { outcome: faults.map(formatFault).join('; ') });
  }

  /**
   * Stops gracefully: fails readiness, closes the gate, drains requests in flight and closes all
   * connections.
   *
   * @returns whether all requests and calls finished before the deadline
   */
  async stop(): Promise<boolean> {
    this.#startAbort.abort();
    const { clock } = this.#dependencies;
    const stop = { startedAt: clock.now(), deadlineMs: this.#settings.stopDeadlineMs };
    this.#plannedStop = stop;
    this.#reportEvent('stopRequested', { open: this.#openRequests });
    await sleep(GATE_CLOSE_DELAY_MS);
    this.#mesh.broadcast({ kind: 'leaving' });
    this.#gate.stop();
    await waitForDrain({ clock, stop, openRequests: () => this.#openRequests });
    const isDrained = this.#openRequests === 0;
    this.#reportEvent('nodeStopped', { open: this.#openRequests });
    if (!isDrained) await answerOpenRequests(() => this.#entry.endAll());
    await this.#close();
    return isDrained;
  }

  /** @returns the number of requests and calls in flight, and of answers that are being written */
  get #openRequests(): number {
    const { unwrittenAnswers } = this.#requestListener;
    return this.#entry.openRequests + this.#gate.pendingCalls + unwrittenAnswers;
  }

  async #close(): Promise<void> {
    clearInterval(this.#statusTimer);
    [this.#pauseWatch, this.#controlPath, this.#fleet].forEach((task) => task.close());
    [this.#requestListener.server, this.#readyServer].forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    this.#mesh.close();
    await this.#gate.close();
    this.#dependencies.log.flush();
  }

  readonly #reportEvent = (code: CodeName, details: Details): void => {
    this.#metrics.events.inc({ code });
    this.#log.write({ kind: 'event', code, details });
  };

  #handlePause({ kind, pausedMs }: Pause): void {
    this.#reportEvent('processPaused', { kind, pausedMs: Math.round(pausedMs) });
    this.#gate.hold();
    // The backend server may have been replaced while the host was suspended.
    if (kind === 'suspended') this.#gate.recheck('the host was suspended');
  }

  #createBodies(): HeldBodies {
    return new HeldBodies({
      memoryBytes: this.#settings.memoryBytes,
      clock: this.#dependencies.clock,
      requestBytes: () => this.#requestListener.requestBytes,
      receivedBytes: () => this.#gate.heldBytes,
      unreadBytes: () => this.#requestListener.unreadBytes,
    });
  }

  #createGate(): DispatchTask {
    const { clock, dialect, pacer } = this.#dependencies;
    return new DispatchTask({
      url: `http://${this.#backendAddress}`,
      clock,
      log: this.#log,
      dialect,
      pacer,
      maxBufferedBytes: () => this.#bodies.maxReceivedBytes,
      bodies: this.#bodies,
      checkPause: () => this.#pauseWatch.check(),
      processorWatch: this.#processorWatch,
      downstreamPressure: () => this.#fleet.loads.downstreamPressure,
      onBackendCrash: (crash, fingerprints) => this.#fleet.crashes.recordCrash(crash, fingerprints),
      onCompleted: (call, status) => this.#fleet.recordCompletion(call, status),
      onReply: (code) => this.#metrics.gateAnswers.inc({ code }),
      onAnswerRead: (cost) => this.#resourceReport.countAnswer(cost),
      onViolation: (violation) => {
        this.#metrics.brokenPromises.inc({ promise: violation.promise });
        this.#log.write(violation);
      },
    });
  }

  #createRequestListener(): RequestListener {
    const { memoryBytes, maxDescriptors } = this.#settings;
    return new RequestListener({
      clock: this.#dependencies.clock,
      dialect: this.#dependencies.dialect,
      maxBufferedBytes: memoryBytes * BODY_MEMORY_SHARE,
      bodies: this.#bodies,
      maxUnreadBytes: () => this.#bodies.maxUnreadBytes,
      maxConnections: Math.floor(maxDescriptors * CALLER_DESCRIPTOR_SHARE),
      handle: (request, arrivedAt, answer) => this.#entry.handle(request, arrivedAt, answer),
      timeLimit: (head) => findTimeLimit(this.#controlPath.policy.lookup, head),
      isHeld: () => this.#pauseWatch.check(),
      isStopping: () => this.#plannedStop !== null,
      onUnreadRefusal: (code) => this.#metrics.entryAnswers.inc({ code }),
      onConnectionClosed: this.#reportEvent,
    });
  }

  #createEntry(): EntryTask {
    const { clock, random } = this.#dependencies;
    const gates = new GateCaller({
      gate: this.#gate,
      ownAddress: this.#backendAddress,
      mesh: this.#mesh,
      clock,
      peers: this.#peers,
    });
    return new EntryTask({
      clock,
      random,
      readBarrier: this.#readBarrier,
      log: this.#log,
      zone: this.#settings.zone,
      origin: this.#settings.service,
      view: {
        lookup: () => this.#controlPath.policy.lookup,
        canServeUntil: (deadline) => canServeUntil(this.#plannedStop, deadline, clock.now()),
        checkCrashes: (request) => this.#fleet.checkRequest(request),
        spendQuota: (account) => this.#fleet.quotas.spendToken(account),
        limitLoad: (route, rank) => this.#fleet.loads.limit({ route, rank }),
        chooseService: (route) => this.#controlPath.policy.chooseService(route),
        retryDelayMs: (route) => this.#fleet.loads.chooseRetryAfterMs(route),
      },
      send: (instance, call, receive) => gates.call(instance, call, receive),
      isReachable: (instance) => gates.isReachable(instance),
      acquireRetry: (admitted) => {
        const isGranted = this.#fleet.acquireRetry(admitted);
        this.#metrics.retries.inc({ granted: String(isGranted) });
        return isGranted;
      },
      onAdmitted: (service) => this.#fleet.retries.countRequest(service),
      onGateReply: (subject, load, outcome) => {
        this.#fleet.recordReply(subject, outcome);
        this.#fleet.loads.send({ kind: 'call-ended', rankedRequest: subject, load, outcome });
      },
      onAnswer: (code, tookMs) => {
        this.#metrics.entryAnswers.inc({ code });
        this.#metrics.requestDuration.observe(tookMs / 1000);
      },
    });
  }

  get #backendAddress(): string {
    const { host, port } = this.#settings.backendAddress;
    return `${host}:${port}`;
  }

  #createControlPath(): ControlPath {
    const { clock, random, store, decodeValue } = this.#dependencies;
    return new ControlPath({
      clock,
      random,
      store,
      decodeValue,
      peers: this.#peers,
      seeds: () => this.#settings.seeds,
      sendFrame: (address, frame) => this.#mesh.sendFrame(address, frame),
      report: this.#reportEvent,
      onEvent: (event) => this.#handleControlEvent(event),
    });
  }

  #handleControlEvent(event: ControlEvent): void {
    switch (event.kind) {
      case 'policy-applied':
        this.#requestListener.setLimits(event.policy.limits);
        this.#fleet.quotas.send({ kind: 'accounts', accounts: event.policy.accounts ?? [] });
        this.#metrics.policyVersion.set(event.policy.version);
        break;
      case 'directory-changed':
        this.#entry.updateDirectory(event.directory);
        this.#updateGate();
        break;
    }
  }

  #updateGate(): void {
    const own = findInstance(this.#controlPath.directory, this.#backendAddress);
    const services = this.#controlPath.policy.lookup?.services;
    const profile = own === null ? null : (services?.get(own.service) ?? null);
    this.#gate.update(own, profile, closedReason(this.#controlPath.directory, own));
  }

  /** Sends the status of the published values to the neighbours and updates the gauges. */
  #updateStatus(): void {
    this.#controlPath.sendStatus();
    this.#metrics.updateStatus({
      links: this.#mesh.linkCount,
      isStoreReader: this.#controlPath.feed.source.kind === 'store',
      load: this.#gate.load,
      gateLimit: this.#gate.limit,
      admittedShares: this.#fleet.loads.admittedShares,
      processorUtilization: this.#processorWatch.utilization,
    });
    this.#resourceReport.update();
  }

  #handleMeshEvent(event: MeshEvent): void {
    handleMeshEvent(event, {
      peers: this.#peers,
      frameRouter: this.#frameRouter,
      controlPath: this.#controlPath,
      report: this.#reportEvent,
    });
  }
}
