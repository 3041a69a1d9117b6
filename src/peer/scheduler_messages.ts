/** The gRPC forms of what VMs and the scheduler say, as in proto/peer.proto. */
export type SchedulerMessages = {
  fromVm: {
    status?: {
      name: string;
      address: string;
      dataCentre: string;
      draining: boolean;
      storeReachable: boolean;
      configurationVersion: number;
    };
    submit?: SubmitMessage;
    abandon?: { id: string };
    leave?: object;
  };
  toVm: {
    status?: {
      epoch: number;
      configurationVersion: number;
      successors: { name: string; dataCentre: string }[];
    };
    placed?: { task: string; endpointId: string };
    done?: { task: string };
    ended?: { id: string; type: string; reason: string; retryAfterMs: number };
    resignation?: { reason: string };
    left?: object;
  };
};

type SubmitMessage = {
  id: string;
  route: string;
  service: string;
  spec: string;
  steps: {
    count: number;
    cpu: number;
    memoryMb: number;
    gpus: number;
    estimateMs: number;
    after: number[];
    rack: string;
    requiredLabel: string;
    mostPerEndpoint: number;
  }[];
  priority: number;
  maxAttempts: number;
  stretch: number;
  slackMs: number;
  ageMs: number;
  waitMs: number;
  resubmitted: boolean;
  done: string[];
  placed: { task: string; endpointId: string }[];
};
