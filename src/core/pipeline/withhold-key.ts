import { err, ok, type Result } from 'neverthrow';
import type { Lookup } from '../configuration/lookup.js';
import { hashKey } from '../configuration/key-hash.js';
import type { Header } from '../model/call.js';
import { refusal, type Authenticated, type Refusal } from './exchange.js';

/** What the filter needs to know about the node. */
export interface KeyView {
  readonly lookup: () => Lookup | null;
}

/** Keys are at least this long (`hash-key` refuses shorter ones), so short words are skipped. */
const MIN_KEY_CHARACTERS = 24;
const WORD_SEPARATORS = /[\s,;:="'&?/|<>()[\]{}]+/;

function decoded(text: string): string {
  try {
    return decodeURIComponent(text.replace(/\+/g, ' '));
  } catch {
    return text;
  }
}

/** Tells whether a text contains the presented key or any key that is published. */
function containsKey(text: string, key: string | null, lookup: Lookup): boolean {
  if (key !== null && key !== '' && text.includes(key)) return true;
  return text
    .split(WORD_SEPARATORS)
    .filter((word) => word.length >= MIN_KEY_CHARACTERS)
    .some((word) => lookup.accountByKeyHash(hashKey(word)) !== null);
}

/**
 * Runs of base64 characters. A slash may belong to the text around the key, as in a URL, so that
 * runs without one are tried as well.
 */
function base64Words(text: string): readonly string[] {
  return [...(text.match(/[\w+/-]{24,}/g) ?? []), ...(text.match(/[\w+-]{24,}/g) ?? [])];
}

function isBase64OfKey(text: string, key: string | null, lookup: Lookup): boolean {
  return base64Words(text).some((word) =>
    containsKey(Buffer.from(word, 'base64').toString('latin1'), key, lookup),
  );
}

function leaks(text: string, key: string | null, lookup: Lookup): boolean {
  const plain = decoded(text);
  return (
    containsKey(text, key, lookup) ||
    (plain !== text && containsKey(plain, key, lookup)) ||
    isBase64OfKey(plain, key, lookup)
  );
}

/** A text that is too short for a key is no key, and occurs in bodies by chance. */
function bodyContainsKey(body: Uint8Array, key: string | null, lookup: Lookup): boolean {
  const sought = key !== null && key.length >= MIN_KEY_CHARACTERS ? key : null;
  return containsKey(Buffer.from(body).toString('latin1'), sought, lookup);
}

function cleanQuery(query: string, key: string | null, lookup: Lookup): string {
  if (query === '') return query;
  const kept = query
    .slice(1)
    .split('&')
    .filter((parameter) => !leaks(parameter, key, lookup));
  return kept.length === 0 ? '' : `?${kept.join('&')}`;
}

/**
 * Builds the filter that keeps keys away from backend servers. Headers and query parameters
 * that contain a key are removed. A path or a body cannot be changed without changing the
 * request, so a key there is refused.
 *
 * @param view - what the filter reads of the node
 * @returns the filter
 */
export function withholdKey(view: KeyView) {
  return (request: Authenticated): Result<Authenticated, Refusal> => {
    const lookup = view.lookup();
    if (lookup === null) return err(refusal('notReady'));
    const { key } = request.credentials;
    if (leaks(request.path, key, lookup)) return err(refusal('keyMisplaced'));
    const hasKeyInBody = bodyContainsKey(request.body, key, lookup);
    if (hasKeyInBody) return err(refusal('keyMisplaced'));
    const isClean = ([name, value]: Header): boolean =>
      !leaks(name, key, lookup) && !leaks(value, key, lookup);
    return ok({
      ...request,
      headers: request.headers.filter(isClean),
      query: cleanQuery(request.query, key, lookup),
    });
  };
}
