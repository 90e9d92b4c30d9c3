// Package locality decides how much of a host's work leaves its failure domain.
//
// Work that crosses failure domains is slower and its bytes cost money, but a
// domain's own targets sometimes have too little capacity. For each group and
// kind of work, a Share is the part of the work to send to other domains. It
// follows from the expected times in the domain and outside, and from the prices
// of bytes and of waiting. An Intake bounds what a host accepts from other domains
// while its own callers wait.
//
// Share, Intake, Observed and Meter are pure: time and measurements are arguments.
// Router is the driver that keeps one of them for each group and kind of work.
package locality
