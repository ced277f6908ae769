/**
 * Creates the bytes of an HTTP 200 response.
 *
 * @param headers - additional header lines, each terminated by CRLF
 * @internal
 */
export function createHttpResponse(body: string, headers = ''): string {
	return `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n${headers}\r\n${body}`
}
