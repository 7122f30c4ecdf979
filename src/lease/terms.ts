/**
 * The terms of the leases, the same on all nodes of a fleet. Times in ms. `lapse` says what a router does whose lease has
 * run out: "stop" serving, so that accepted means in force everywhere, or "serve" on with what it has, for deployments
 * whose rules allow that; a change is then accepted once it is committed at a majority of the core and the routers that
 * hold leases were waited for at most `patience`.
 */
export interface LeaseTerms {
  readonly duration: number;
  readonly renew: number;
  readonly lapse: 'stop' | 'serve';
  readonly patience: number;
}

export const TERMS: LeaseTerms = { duration: 5000, renew: 1000, lapse: 'stop', patience: 500 };
