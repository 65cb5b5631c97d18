import { parentPort, workerData } from 'node:worker_threads';
import { createRandom } from '../standin/process.js';
import type { LoadMessage, LoadReport, LoadWorkerData } from './load-pool.js';
import { Load } from './load.js';

const { target, seed, firstNumber, stride } = workerData as LoadWorkerData;
const report = (message: LoadReport): void => parentPort?.postMessage(message);
const load = new Load({
  target,
  random: createRandom(seed),
  firstNumber,
  stride,
  ended: (record) => report({ kind: 'ended', record }),
});

async function receive(message: LoadMessage): Promise<void> {
  switch (message.kind) {
    case 'rate':
      load.setRate(message.account, message.perSecond);
      break;
    case 'crash':
      load.sendCrash(message.account);
      break;
    case 'stop':
      await load.stop();
      report({ kind: 'stopped', nextNumber: load.nextNumber });
      parentPort?.close();
      break;
  }
}

parentPort?.on('message', receive);
