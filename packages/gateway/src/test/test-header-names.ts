/** Header names for tests. */
export const headerNames = {
    requestId: "x-request",
    deadlineMs: "x-deadline",
    expectedServer: "x-expected",
    notRun: "x-not-run",
    signature: "x-signature",
    serverLimit: "x-limit",
};
