/** A fault of a history, from `atMs` for `forMs`. `endpoint` is the index of an endpoint, or of a VM for the kinds that begin with `link`; the kinds takeover, powerLoss, cancel, ordersSlow, runsLong, tasksCrash, tasksSmall, crashesEndScheduler and estimatesOff ignore it. */
export type Fault = {
  atMs: number;
  forMs: number;
  endpoint: number;
  kind:
    /** Requests between the endpoint and the scheduler at the start of the fault are lost. */
    | "cut"
    /** Connections to the endpoint are reset, those of every scheduler; its process runs on. */
    | "cutWithResets"
    /** The endpoint carries requests out, but its answers are lost. */
    | "answersLost"
    /** Requests arrive up to 3 s late. */
    | "late"
    /** The endpoint's process is replaced by a new one, which is reached from the end of the fault. Lasts longer than the pause between two listings. */
    | "processRestart"
    /** The endpoint is missing from the store's list of endpoints. */
    | "unlisted"
    /** Orders are given up after 500 ms in place of 40 ms, as those to an endpoint that has not answered before. */
    | "ordersSlow"
    /** Runs that begin take up to 5 s, so that they outlast schedulers. */
    | "runsLong"
    /** All tasks of the history are so small that an endpoint runs many, and take up to 2 s. */
    | "tasksSmall"
    /** Every start is rejected as that of an unhealthy endpoint. */
    | "startsRejected"
    /** Every run fails. */
    | "runsFail"
    /** No run ends by itself. */
    | "runsHang"
    /** The first task of every third job that is submitted during the fault crashes each endpoint that starts it. */
    | "tasksCrash"
    /** Jobs that are submitted have no estimates of run times, or estimates that are far off. Endpoints list the progress of runs in histories with this fault. */
    | "estimatesOff"
    /** All schedulers and VMs end shortly after each such crash. */
    | "crashesEndScheduler"
    /** Another scheduler takes over; the earlier one goes on running until the end of the fault. */
    | "takeover"
    /** Another scheduler takes over; until the end of the fault the earlier one reaches only this endpoint, which no other scheduler reaches. */
    | "dataCentreCut"
    /** All schedulers and VMs end, and later another scheduler begins. */
    | "powerLoss"
    /** The store refuses every call: nothing is stored or read, and no other scheduler takes over. Endpoints list few run ends at a time in histories with this fault. */
    | "storeDown"
    /** The store answers no call: writes that are under way fail after their time-out, and the scheduler reads all stored jobs again afterwards. */
    | "storeSilent"
    /** The operator evacuates the endpoint's data centre, which is `a` or `b` by turns in histories with this fault. */
    | "evacuated"
    /** A client cancels the newest stored job. */
    | "cancel"
    /** A VM's link to the scheduler is closed; the VM opens no other until the end of the fault. */
    | "linkClosed"
    /** A VM's link goes silent without being closed, so that scheduler and VM detect its loss by their time-outs; the VM does not reach the store. */
    | "linkUnresponsive"
    /** A VM's link to the scheduler is closed; until the end of the fault the VM is linked to an earlier scheduler, if one is still running. */
    | "linkToEarlier";
};
