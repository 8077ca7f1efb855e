/** Program for tests of the harness: answers like a node's admin port and reports its process id. */

import * as fs from 'node:fs';
import * as nodeHttp from 'node:http';
import * as path from 'node:path';
import * as yaml from 'yaml';
import * as addresses from '../../common/address.js';
import * as http from '../../common/http.js';
import type * as nodeSettings from '../nodeSettings.js';

const file = process.argv[process.argv.indexOf('--config') + 1] ?? '';
const settings = yaml.parse(fs.readFileSync(file, 'utf8')) as nodeSettings.NodeSettings;
fs.writeFileSync(path.join(process.env.FAKE_NODE_REPORTS ?? '.', String(process.pid)), '');
if (process.env.FAKE_NODE_FAILS === settings.node) process.exit(3);

const server = nodeHttp.createServer((req, res) => {
  void http.readBody(req, 10_000).then((body) => {
    if (req.method === 'POST') process.stdout.write(`${body.toString()}\n`);
    if (req.method === 'DELETE') process.stdout.write('{"state":"withdrawn"}\n');
    res.end(JSON.stringify({ renewWithinMs: 1_000 }));
  });
});
await addresses.listen(server, settings.listen.admin);
