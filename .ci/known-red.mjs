/**
 * Judges a test run where some tests are known to fail. KNOWN-RED.txt names each on a line of its own:
 *   test/days/start.test.ts | name, with " > " behind that of each group | cause | issue 12
 * Blank lines and those that begin with # are skipped. The run passes when just the listed tests failed. It does not when
 * another failed, when a listed one passed, was skipped or isn't found, or when anything failed outside of a test.
 * A reporter for vitest; writes "pass" or "fail" into the file named by KNOWN_RED_VERDICT.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { relative } from 'node:path';

/** The entries of a list, and what is wrong with its lines. */
export const parseList = (text) => {
  const entries = [];
  const complaints = [];
  for (const line of text.split('\n').map((each) => each.trim())) {
    if (!line || line.startsWith('#')) continue;
    const parts = line.split(' | ').map((part) => part.trim());
    const [file, name, cause, issue] = parts;
    if (parts.length !== 4 || parts.some((part) => !part))
      complaints.push(`not "file | name | cause | issue": ${line}`);
    else if (entries.some((entry) => entry.file === file && entry.name === name))
      complaints.push(`listed twice: ${file} > ${name}`);
    else entries.push({ file, name, cause, issue });
  }
  return { entries, complaints };
};

/** What speaks against a run; nothing when just the listed tests failed. */
export const judge = (entries, tests, outside) => {
  const listed = (test) =>
    entries.some(({ file, name }) => file === test.file && name === test.name);
  const complaints = outside.map((reason) => `failed outside of a test: ${reason}`);
  for (const test of tests)
    if (test.state === 'failed' && !listed(test))
      complaints.push(`failed, and is not listed: ${test.file} > ${test.name}`);
  for (const { file, name } of entries) {
    const states = tests
      .filter((test) => test.file === file && test.name === name)
      .map(({ state }) => state);
    if (states.length === 0) complaints.push(`listed, and not found: ${file} > ${name}`);
    for (const state of states)
      if (state !== 'failed') complaints.push(`listed, and ${state}: ${file} > ${name}`);
  }
  return complaints;
};

export default class KnownRed {
  onTestRunEnd(modules, errors, reason) {
    const { entries, complaints } = parseList(readFileSync('KNOWN-RED.txt', 'utf8'));
    const tests = [];
    const outside = errors.map(({ message }) => message);
    if (reason === 'interrupted') outside.push('the run was interrupted');
    for (const module of modules) {
      const file = relative('.', module.moduleId);
      for (const { message } of module.errors()) outside.push(`${file}: ${message}`);
      for (const suite of module.children.allSuites())
        for (const { message } of suite.errors())
          outside.push(`${file} > ${suite.fullName}: ${message}`);
      for (const test of module.children.allTests())
        tests.push({ file, name: test.fullName, state: test.result().state });
    }
    complaints.push(...judge(entries, tests, outside));
    for (const { file, name, cause, issue } of entries)
      console.log(`known red: ${file} > ${name} (${cause}; ${issue})`);
    for (const complaint of complaints) console.log(`known red, complaint: ${complaint}`);
    writeFileSync(process.env.KNOWN_RED_VERDICT, complaints.length ? 'fail\n' : 'pass\n');
  }
}
