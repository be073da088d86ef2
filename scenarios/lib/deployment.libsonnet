// The deployment of the brief, sized: what all scenarios start from. Figures that are not named here are the defaults
// of the types (`irisrouter-testbed check FILE` prints all of them), which are the brief's.
{
  // gateways, hosts: how many; load: part of what the sets can do; length: seconds of arrivals.
  sized(gateways, hosts, load, length):: {
    gateways: gateways,
    length_s: length,
    warm_up_s: 3,
    hosts: { count: hosts },
    traffic: { load: load },
  },

  // The storm's clients: they try again twice, whatever they were told, marked or not.
  storming:: {
    clients: {
      retries: 2,
      backoff_ms: [10, 80],
      honour: [0.46, 0.99],
    },
  },
}
