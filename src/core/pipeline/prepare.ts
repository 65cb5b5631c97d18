import type { ResultAsync } from 'neverthrow';
import { accept } from './accept.js';
import { admitNested, type NestedView } from './admit-nested.js';
import { admitRoot, type RootView } from './admit-root.js';
import { authenticate, type AuthenticationView } from './authenticate.js';
import { checkPrepared, type CheckView } from './check-prepared.js';
import { classify, type ClassificationView } from './classify.js';
import type { Classified, Prepared, RawRequest, Refusal } from './request-stages.js';
import { removeKeys, type KeyView } from './remove-keys.js';

/** State and operations of the node that the filters of an entry use. */
export interface EntryView
  extends AuthenticationView, KeyView, ClassificationView, RootView, NestedView, CheckView {}

/**
 * Builds the pipeline of filters that a request passes before it is placed: accept, authenticate,
 * remove keys, classify, admit as a root request or as a nested call, and a last check.
 *
 * @param view - state and operations of the node
 * @returns the pipeline
 */
export function prepare(view: EntryView): (request: RawRequest) => ResultAsync<Prepared, Refusal> {
  const toAuthenticated = authenticate(view);
  const toKeyless = removeKeys(view);
  const toClassified = classify(view);
  const toAdmittedRoot = admitRoot(view);
  const toAdmittedNested = admitNested(view);
  const toChecked = checkPrepared(view);
  const admit = (request: Classified): ResultAsync<Prepared, Refusal> => {
    switch (request.origin.kind) {
      case 'root':
        return toAdmittedRoot(request);
      case 'nested':
        return toAdmittedNested(request).asyncMap(async (prepared) => prepared);
    }
  };
  return (request) =>
    accept(request)
      .andThen(toAuthenticated)
      .andThen(toKeyless)
      .andThen(toClassified)
      .asyncAndThen((classified) =>
        admit(classified).andThen(toChecked(classified.credentials.key)),
      );
}
