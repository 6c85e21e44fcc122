package origin

// deltasPerUpdate keeps messages well below the limit of the link.
const deltasPerUpdate = 256
