package origin

// deltasPerUpdate is the maximum number of deltas in a message. It keeps messages
// well below the size limit of the link.
const deltasPerUpdate = 256
