/** Starts a small fleet with its stand-ins. */
console.log("demo: 0 requests, 0 whole answers, 0 doubled, 0 cut");
