import { extractIp } from '../core/directory/directory.js';
import type { Instance } from '../core/directory/instance.js';
import type { MeshCall } from '../core/exchange/mesh-call.js';
import type { DispatchTask } from './dispatch-task.js';
import {
  callOwnGate,
  callPeerGate,
  type GateCall,
  type PeerGateOptions,
  type ResultHandler,
} from './gate-call.js';
import type { PeerTable } from './peer-table.js';

/** Ways to the gates of backend servers. */
export interface GateCallerOptions extends PeerGateOptions {
  readonly gate: DispatchTask;
  /** Address of the backend server of the own gate. */
  readonly ownAddress: string;
  readonly peers: PeerTable;
}

/** Sends calls to the gate of this node or to the gates of other nodes. */
export class GateCaller {
  readonly #options: GateCallerOptions;

  /** Peer addresses of the nodes beside listed backend servers. */
  readonly #peerAddresses = new WeakMap<Instance, string>();

  /**
   * @param options - the own gate and the links to other nodes
   */
  constructor(options: GateCallerOptions) {
    this.#options = options;
  }

  /**
   * Sends a call to the gate of a backend server.
   *
   * @param instance - the backend server
   * @param call - the call
   * @param receive - takes the result
   * @returns the call in flight
   */
  call(instance: Instance, call: MeshCall, receive: ResultHandler): GateCall {
    const { gate, ownAddress } = this.#options;
    return instance.address === ownAddress
      ? callOwnGate(gate, call, receive)
      : callPeerGate(this.#options, this.#peerAddressOf(instance), call, receive);
  }

  /**
   * Checks whether the gate of a backend server can be reached.
   *
   * @param instance - the backend server
   * @returns whether it is the own gate, or that of a peer that accepts calls
   */
  isReachable(instance: Instance): boolean {
    const { ownAddress, peers } = this.#options;
    return instance.address === ownAddress || peers.isReachable(this.#peerAddressOf(instance));
  }

  #peerAddressOf(instance: Instance): string {
    const known = this.#peerAddresses.get(instance);
    if (known !== undefined) return known;
    const address = this.#options.peers.addressOf(extractIp(instance.address));
    this.#peerAddresses.set(instance, address);
    return address;
  }
}
