import { parentPort, workerData } from 'node:worker_threads';
import { createRandom } from '../standin/process.js';
import type { LoadCommand, LoadReport, LoadWorkerData } from './load-pool.js';
import { LoadGenerator } from './load.js';

const { target, seed, firstOrderNumber, stride } = workerData as LoadWorkerData;
const sendReport = (message: LoadReport): void => parentPort?.postMessage(message);
const generator = new LoadGenerator({
  target,
  random: createRandom(seed),
  firstOrderNumber,
  stride,
  onRequestEnd: (record) => sendReport({ kind: 'ended', record }),
});

async function handleCommand(message: LoadCommand): Promise<void> {
  switch (message.kind) {
    case 'rate':
      generator.setRate(message.account, message.perSecond);
      break;
    case 'crash':
      generator.sendCrashRequest(message.account);
      break;
    case 'stop':
      await generator.stop();
      sendReport({ kind: 'stopped', nextOrderNumber: generator.nextOrderNumber });
      parentPort?.close();
      break;
  }
}

parentPort?.on('message', handleCommand);
