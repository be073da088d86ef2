// The deployment that all scenarios start from, with its size as parameters. Values that are not set here have the
// defaults of their types, which are those of the requirements (`irisrouter-testbed check FILE` prints all of them).
{
  // gateways, hosts: numbers of each; load: share of the groups' capacity; length: duration of arrivals in seconds.
  sized(gateways, hosts, load, length):: {
    gateways: gateways,
    length_s: length,
    warm_up_s: 3,
    hosts: { count: hosts },
    traffic: { load: load },
  },

  // The clients of a retry storm: they retry twice after any answer, whether or not they mark their retries as such.
  storming:: {
    clients: {
      retries: 2,
      backoff_ms: [10, 80],
      honour: [0.46, 0.99],
    },
  },
}
