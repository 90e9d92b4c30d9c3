package pool

import "container/list"

const maxStatementsPerConn = 200 // prepared statements

// statementCache tracks which prepared statements exist on one connection, the
// most recently used first.
type statementCache struct {
	order  *list.List
	byName map[string]*list.Element
}

func newStatementCache() *statementCache {
	return &statementCache{order: list.New(), byName: map[string]*list.Element{}}
}

func (c *statementCache) len() int { return c.order.Len() }

func (c *statementCache) has(name string) bool {
	_, ok := c.byName[name]
	return ok
}

// touch adds the statement or marks it as the most recently used.
func (c *statementCache) touch(name string) {
	if e, ok := c.byName[name]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.byName[name] = c.order.PushFront(name)
}

func (c *statementCache) remove(name string) {
	if e, ok := c.byName[name]; ok {
		c.order.Remove(e)
		delete(c.byName, name)
	}
}

// leastRecentlyUsed returns the least recently used statement that is not in
// exclude.
func (c *statementCache) leastRecentlyUsed(exclude map[string]bool) (string, bool) {
	for e := c.order.Back(); e != nil; e = e.Prev() {
		if name := e.Value.(string); !exclude[name] {
			return name, true
		}
	}
	return "", false
}
