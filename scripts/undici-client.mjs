// Exports only the undici client that nodes use. The main module of undici also loads fetch,
// caches, proxies and mocks, which would take two thirds of a node's start time.
import api from 'undici/lib/api/index.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, api);

export { Client };
