import type { ResultAsync } from 'neverthrow';
import { accept } from './accept.js';
import { admitNested, type NestedView } from './admit-nested.js';
import { admitRoot, type RootView } from './admit-root.js';
import { authenticate, type AuthenticationView } from './authenticate.js';
import { check, type CheckView } from './check-prepared.js';
import { classify, type ClassificationView } from './classify.js';
import type { Classified, Prepared, RawRequest, Refusal } from './exchange.js';
import { withholdKey, type KeyView } from './withhold-key.js';

/** Everything that the filters of an entry read and ask of their node. */
export interface EntryView
  extends AuthenticationView, KeyView, ClassificationView, RootView, NestedView, CheckView {}

/**
 * Joins the filters that a request passes before it is placed: accept, authenticate, withhold
 * the key, classify, admit as a root request or as a deeper call, and a last check.
 *
 * @param view - what the filters read and ask of the node
 * @returns the pipeline
 */
export function prepare(view: EntryView): (request: RawRequest) => ResultAsync<Prepared, Refusal> {
  const toAuthenticated = authenticate(view);
  const toWithheld = withholdKey(view);
  const toClassified = classify(view);
  const toAdmittedRoot = admitRoot(view);
  const toAdmittedNested = admitNested(view);
  const toChecked = check(view);
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
      .andThen(toWithheld)
      .andThen(toClassified)
      .asyncAndThen((request) => admit(request).andThen(toChecked(request.credentials.key)));
}
