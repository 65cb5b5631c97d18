import { createHmac } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { isEqualSecret } from '../model/equal-secret.js';
import type { BackendServerName, Incarnation, ZoneName } from '../model/names.js';

/** Version of the peer protocol; nodes with another version are refused. */
export const PEER_PROTOCOL_VERSION = 1;

/** Identity that a node claims in the handshake. */
export interface Identity {
  readonly node: BackendServerName;
  readonly zone: ZoneName;
  readonly incarnation: Incarnation;
}

/** First message of the handshake, sent by the node that opens the connection. */
export interface Hello {
  readonly kind: 'hello';
  readonly version: number;
  readonly identity: Identity;
  readonly nonce: string;
}

/** Reply to a hello; proves that the listener holds the shared peer secret. */
export interface Challenge {
  readonly kind: 'challenge';
  readonly identity: Identity;
  readonly nonce: string;
  readonly proof: string;
}

/** Last message of the handshake; proves that the opener holds the shared peer secret. */
export interface Proof {
  readonly kind: 'proof';
  readonly proof: string;
}

/** Messages exchanged before a link is open. */
export type HandshakeMessage = Hello | Challenge | Proof;

/** Identities and nonces of both sides, over which both proofs are computed. */
interface Transcript {
  readonly opener: Identity;
  readonly openerNonce: string;
  readonly listener: Identity;
  readonly listenerNonce: string;
}

type Role = 'opener' | 'listener';

function computeProof(role: Role, transcript: Transcript, secret: string): string {
  const { opener, openerNonce, listener, listenerNonce } = transcript;
  // Including the role prevents a reflection attack, in which a peer returns a proof to its sender.
  const text = JSON.stringify([
    PEER_PROTOCOL_VERSION,
    role,
    [opener.node, opener.zone, opener.incarnation, openerNonce],
    [listener.node, listener.zone, listener.incarnation, listenerNonce],
  ]);
  return createHmac('sha256', secret).update(text).digest('base64url');
}

/** State of the listener while it waits for the opener's proof. */
export interface PendingHandshake {
  readonly challenge: Challenge;
  readonly transcript: Transcript;
}

/**
 * Answers a hello with a challenge.
 *
 * @param options - the hello, the own identity, a fresh nonce and the shared peer secret
 * @returns the challenge to send, or the reason for refusing the peer
 */
export function answerHello(options: {
  readonly hello: Hello;
  readonly identity: Identity;
  readonly nonce: string;
  readonly secret: string;
}): Result<PendingHandshake, string> {
  const { hello, identity, nonce, secret } = options;
  if (hello.version !== PEER_PROTOCOL_VERSION) {
    return err(
      `peer protocol version ${hello.version} is not supported, expected ${PEER_PROTOCOL_VERSION}`,
    );
  }
  const transcript: Transcript = {
    opener: hello.identity,
    openerNonce: hello.nonce,
    listener: identity,
    listenerNonce: nonce,
  };
  const proof = computeProof('listener', transcript, secret);
  return ok({ challenge: { kind: 'challenge', identity, nonce, proof }, transcript });
}

/**
 * Verifies the listener's proof and builds the opener's proof.
 *
 * @param options - the hello that was sent, the challenge received and the shared peer secret
 * @returns the proof to send, or the reason for refusing the peer
 */
export function answerChallenge(options: {
  readonly hello: Hello;
  readonly challenge: Challenge;
  readonly secret: string;
}): Result<Proof, string> {
  const { hello, challenge, secret } = options;
  const transcript: Transcript = {
    opener: hello.identity,
    openerNonce: hello.nonce,
    listener: challenge.identity,
    listenerNonce: challenge.nonce,
  };
  return isEqualSecret(challenge.proof, computeProof('listener', transcript, secret))
    ? ok({ kind: 'proof', proof: computeProof('opener', transcript, secret) })
    : err('the proof of the listener does not match the peer secret');
}

/**
 * Verifies the opener's proof.
 *
 * @param options - the pending handshake, the proof received and the shared peer secret
 * @returns the verified identity of the opener, or the reason for refusing the peer
 */
export function verifyProof(options: {
  readonly pending: PendingHandshake;
  readonly proof: Proof;
  readonly secret: string;
}): Result<Identity, string> {
  const { pending, proof, secret } = options;
  return isEqualSecret(proof.proof, computeProof('opener', pending.transcript, secret))
    ? ok(pending.transcript.opener)
    : err('the proof of the opener does not match the peer secret');
}
