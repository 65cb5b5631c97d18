// The part of undici that the nodes use. Its main module loads fetch, caches, proxies and mocks as
// well, which takes two thirds of the time that a node needs to start.
import api from 'undici/lib/api/index.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, api);

export { Client };
