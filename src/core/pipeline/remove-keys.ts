import { err, ok, type Result } from 'neverthrow';
import type { Lookup } from '../configuration/lookup.js';
import { hashKey } from '../configuration/key-hash.js';
import type { Header } from '../model/call.js';
import { refusal, type Authenticated, type Refusal } from './request-stages.js';

/** State of the node that the filter reads. */
export interface KeyView {
  readonly lookup: () => Lookup | null;
}

/** Minimum length of a key (`hash-key` refuses shorter ones); shorter words are skipped. */
const MIN_KEY_CHARACTERS = 24;
const WORD_SEPARATORS = /[\s,;:="'&?/|<>()[\]{}]+/;

function decodeQueryText(text: string): string {
  try {
    return decodeURIComponent(text.replace(/\+/g, ' '));
  } catch {
    return text;
  }
}

/** Checks whether a text contains the caller's key or any published key. */
function hasKey(text: string, key: string | null, lookup: Lookup): boolean {
  if (key !== null && key !== '' && text.includes(key)) return true;
  return text
    .split(WORD_SEPARATORS)
    .filter((word) => word.length >= MIN_KEY_CHARACTERS)
    .some((word) => lookup.accountByKeyHash(hashKey(word)) !== null);
}

/**
 * Finds sequences of base64 characters. A slash may belong to the surrounding text, as in a URL, so
 * sequences without slashes are included as well.
 */
function findBase64Words(text: string): readonly string[] {
  return [...(text.match(/[\w+/-]{24,}/g) ?? []), ...(text.match(/[\w+-]{24,}/g) ?? [])];
}

function hasBase64Key(text: string, key: string | null, lookup: Lookup): boolean {
  return findBase64Words(text).some((word) =>
    hasKey(Buffer.from(word, 'base64').toString('latin1'), key, lookup),
  );
}

function hasEncodedKey(text: string, key: string | null, lookup: Lookup): boolean {
  const plain = decodeQueryText(text);
  return (
    hasKey(text, key, lookup) ||
    (plain !== text && hasKey(plain, key, lookup)) ||
    hasBase64Key(plain, key, lookup)
  );
}

/** Ignores a presented key below the minimum length, which may occur in a body by chance. */
function isKeyInBody(body: Uint8Array, key: string | null, lookup: Lookup): boolean {
  const sought = key !== null && key.length >= MIN_KEY_CHARACTERS ? key : null;
  return hasKey(Buffer.from(body).toString('latin1'), sought, lookup);
}

function cleanQuery(query: string, key: string | null, lookup: Lookup): string {
  if (query === '') return query;
  const kept = query
    .slice(1)
    .split('&')
    .filter((parameter) => !hasEncodedKey(parameter, key, lookup));
  return kept.length === 0 ? '' : `?${kept.join('&')}`;
}

/**
 * Builds the filter that prevents keys from reaching backend servers. Headers and query parameters
 * that contain a key are removed. A path or a body cannot be changed without changing the
 * meaning of the request, so a request with a key there is refused.
 *
 * @param view - state of the node
 * @returns the filter
 */
export function removeKeys(view: KeyView) {
  return (request: Authenticated): Result<Authenticated, Refusal> => {
    const lookup = view.lookup();
    if (lookup === null) return err(refusal('notReady'));
    const { key } = request.credentials;
    if (hasEncodedKey(request.path, key, lookup)) return err(refusal('keyMisplaced'));
    const hasKeyInBody = isKeyInBody(request.body, key, lookup);
    if (hasKeyInBody) return err(refusal('keyMisplaced'));
    const isClean = ([name, value]: Header): boolean =>
      !hasEncodedKey(name, key, lookup) && !hasEncodedKey(value, key, lookup);
    return ok({
      ...request,
      headers: request.headers.filter(isClean),
      query: cleanQuery(request.query, key, lookup),
    });
  };
}
