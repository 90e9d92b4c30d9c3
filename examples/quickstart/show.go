package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"nettlewalk.example/nettlewalk/test/testbed"
)

const insertBooking = "INSERT INTO bookings (id, crew, session, seq) VALUES ($1, 'crew-1', 'supervisor-7', $2)"

// runDemo writes through one host, reads through another, kills the primary,
// and then writes and reads again.
func runDemo(ctx context.Context, bed *testbed.Bed) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	first, err := connect(ctx, bed, 0)
	if err != nil {
		return err
	}
	defer first.Close(ctx)
	second, err := connect(ctx, bed, 1)
	if err != nil {
		return err
	}
	defer second.Close(ctx)

	fmt.Println("\nOne session, two connections to two hosts:")
	if err := insertAndPrint(ctx, first, bed.Hosts[0], "job-1", 1); err != nil {
		return err
	}
	if err := readAndPrint(ctx, second, bed.Hosts[1], "job-1"); err != nil {
		return err
	}
	if err := killPrimary(ctx, bed); err != nil {
		return err
	}
	if err := insertAndPrint(ctx, first, bed.Hosts[0], "job-2", 2); err != nil {
		return err
	}
	if err := readAndPrint(ctx, second, bed.Hosts[1], "job-1"); err != nil {
		return err
	}
	if err := readAndPrint(ctx, second, bed.Hosts[1], "job-2"); err != nil {
		return err
	}
	return waitForReplicaRead(ctx, second, bed.Hosts[1])
}

// connect opens a connection through a host. All connections belong to the same
// session.
func connect(ctx context.Context, bed *testbed.Bed, hostIndex int) (*pgx.Conn, error) {
	plan := bed.Plan
	return bed.Hosts[hostIndex].Connect(ctx, plan.Customers[0].ID, string(plan.Groups[0]), "nettlewalk.session=supervisor-7")
}

func insertAndPrint(ctx context.Context, conn *pgx.Conn, h *testbed.Host, id string, seq int) error {
	start := time.Now()
	if _, err := conn.Exec(ctx, insertBooking, id, seq); err != nil {
		return fmt.Errorf("book %s through %s: %w", id, h.ID, err)
	}
	fmt.Printf("  booked %s through %s in %v\n", id, h.ID, time.Since(start).Round(time.Millisecond))
	return nil
}

func readAndPrint(ctx context.Context, conn *pgx.Conn, h *testbed.Host, id string) error {
	start := time.Now()
	var found int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM bookings WHERE id = $1", id).Scan(&found); err != nil {
		return fmt.Errorf("find %s through %s: %w", id, h.ID, err)
	}
	took := time.Since(start).Round(time.Millisecond)
	server, err := servedBy(ctx, conn)
	if err != nil {
		return err
	}
	fmt.Printf("  read  %s through %s in %v: %d row, served by %s\n", id, h.ID, took, found, server)
	if found != 1 {
		return fmt.Errorf("%s: want 1 row, got %d", id, found)
	}
	return nil
}

// servedBy returns the target and role that served the connection's last read.
func servedBy(ctx context.Context, conn *pgx.Conn) (string, error) {
	var target string
	err := conn.QueryRow(ctx, "SHOW nettlewalk.served_by", pgx.QueryExecModeSimpleProtocol).Scan(&target)
	return target, err
}

func killPrimary(ctx context.Context, bed *testbed.Bed) error {
	primary := bed.Primary(ctx, bed.Plan.Groups[0])
	if primary == nil {
		return fmt.Errorf("no primary")
	}
	fmt.Printf("Killing the primary %s in %s.\n", primary.ID, primary.Domain)
	return primary.Kill()
}

// waitForReplicaRead repeats a read until a replica that has applied the
// session's last write serves it.
func waitForReplicaRead(ctx context.Context, conn *pgx.Conn, h *testbed.Host) error {
	fmt.Println("Once the replica has applied the session's last write, it serves the session's reads:")
	return testbed.Until(ctx, "a replica serves the read", func() bool {
		var n int
		if err := conn.QueryRow(ctx, "SELECT count(*) FROM bookings").Scan(&n); err != nil {
			return false
		}
		server, err := servedBy(ctx, conn)
		if err != nil || !isReplica(server) {
			return false
		}
		fmt.Printf("  read  %d bookings through %s, served by %s\n", n, h.ID, server)
		return true
	})
}

func isReplica(server string) bool { return strings.HasSuffix(server, "(replica)") }
