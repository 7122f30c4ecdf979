#!/usr/bin/env node
/** Starts the program. A daemon that is told to read its params again while it still loads does so once it runs. */
const DAEMONS = ['core', 'router'];

if (DAEMONS.includes(process.argv[2])) process.on('SIGHUP', () => undefined);
await import('../dist/main.js');
